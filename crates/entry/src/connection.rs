//! Time limits of callers' connections.

use ntex::http::Request;

/// Stops the timer of a connection whose next head has been read.
///
/// The HTTP library has one timer for the head and for the idle time of a connection, and leaves it
/// running when the head is complete. If it expires while the answer is sent, the library closes the
/// connection after the answer. It starts the timer again when it waits for the next head.
pub fn stop_timer(request: &Request) {
    if let Some(io) = request.io() {
        io.stop_timer();
    }
}
