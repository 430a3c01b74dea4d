//! Admits requests by team, weight and deadline.
