//! Elects one leader in each availability zone by a lease.
