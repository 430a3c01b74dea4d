//! Accepts release notes and takes only higher revisions.
