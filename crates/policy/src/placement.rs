//! Turns a placement into orders for model engines.
