//! Chooses a replica group or a backend server for a request.
