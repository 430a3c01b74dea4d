//! Answers requests whose head or body violates HTTP or the node's limits.

use std::io;
use std::sync::Arc;

use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason as Refusal;
use ntex::SharedCfg;
use ntex::http::error::DecodeError;
use ntex::http::h1::control::Reason;
use ntex::http::h1::{Control, ControlAck, ProtocolError};
use ntex::http::{ConnectionType, ResponseError};
use ntex::io::Filter;
use ntex::service::{Service, ServiceCtx, ServiceFactory};

use crate::connection;
use crate::head;
use crate::problem::Problem;
use crate::shared::Shared;

/// Handles the control messages of one worker's connections.
#[derive(Clone, Debug)]
pub(crate) struct Controller {
    shared: Arc<Shared>,
}

impl Controller {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Controller { shared }
    }

    fn handle<F: Filter, E: ResponseError>(&self, control: Control<F, E>) -> ControlAck<F> {
        let error = match control {
            Control::Connect(connection) => {
                self.shared
                    .drain
                    .track_connection(connection.get_ref().get_ref());
                return connection.ack();
            }
            Control::Request(request) => {
                connection::stop_timer(request.get_ref());
                return request.ack();
            }
            Control::Disconnect(Reason::ProtocolError(error)) => error,
            other => return other.ack(),
        };
        let Some(problem) = convert_error(error.err()) else {
            return error.ack();
        };
        self.shared.counters.count_problem(&problem);
        let id = head::generate_request_id(&self.shared);
        let mut response = problem.to_response(&id);
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        error.fail_with(response)
    }
}

impl<F: Filter, E: ResponseError> ServiceFactory<Control<F, E>, SharedCfg> for Controller {
    type Response = ControlAck<F>;
    type Error = io::Error;
    type Service = Controller;
    type InitError = io::Error;

    async fn create(&self, _: SharedCfg) -> io::Result<Controller> {
        Ok(self.clone())
    }
}

impl<F: Filter, E: ResponseError> Service<Control<F, E>> for Controller {
    type Response = ControlAck<F>;
    type Error = io::Error;

    /// Handles a control message; only protocol errors are answered differently from the library.
    async fn call(
        &self,
        control: Control<F, E>,
        _: ServiceCtx<'_, Self>,
    ) -> io::Result<ControlAck<F>> {
        Ok(self.handle(control))
    }
}

fn convert_error(error: &ProtocolError) -> Option<Problem> {
    let (reason, detail) = match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => (
            Refusal::TooLarge,
            "the head has too many or too large headers".to_owned(),
        ),
        ProtocolError::Decode(error) => (Refusal::Malformed, error.to_string()),
        ProtocolError::SlowRequestTimeout => (
            Refusal::Deadline,
            "the head did not come in time".to_owned(),
        ),
        ProtocolError::SlowPayloadTimeout => (
            Refusal::Deadline,
            "the body did not come in time".to_owned(),
        ),
        ProtocolError::Encode(_) | ProtocolError::ResponsePayload(_) => return None,
    };
    Some(Problem::new(reason, Step::Received, detail))
}
