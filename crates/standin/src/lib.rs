//! Small stand-ins for the platform and the back ends.

pub mod store;
