//! Judges from members' own reports which replica groups are whole.
