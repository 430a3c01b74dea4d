//! Finds requests that crash backend servers.
