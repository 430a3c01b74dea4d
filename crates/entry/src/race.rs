//! Gets an answer to a call by one attempt after another.
//!
//! The attempt at a silent server is kept beside the next one, since a sound server may go on at any
//! time. The first attempt that brings something new to the caller wins, and the others are dropped.
//! A caller that has a part of a stream waits for a retry or a target until its deadline.

use std::future::poll_fn;
use std::pin::pin;
use std::task::{Context, Poll};

use futures::future::{Either, LocalBoxFuture, select};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::retry::{Cause, ExchangeFailure, Fault, Verdict};
use ntex::time;

use crate::attempt::{Attempt, Piece};
use crate::dispatch::Dispatch;
use crate::exchange::to_timer_millis;
use crate::isolation::Placement;
use crate::problem::Problem;

/// Interval at which a call asks again whether another attempt is possible.
const RETRY_INTERVAL: Millis = Millis(100);

/// What ended a wait.
enum Occurrence {
    /// An attempt beside the current one brought something or failed.
    Standby(usize, Result<Piece, ExchangeFailure>),
    /// The current attempt brought something or failed.
    Current(Result<Piece, ExchangeFailure>),
    /// The target of the next attempt was chosen, if there is one.
    Placed(Option<Placement>),
    /// Nothing arrived from the current attempt's server within a timeout.
    Silence,
    /// The deadline has passed.
    Deadline,
}

/// The attempts at one call.
pub(crate) struct Race {
    pub(crate) dispatch: Dispatch,
    /// Choice of the target for the next attempt, while none is the current one.
    placing: Option<LocalBoxFuture<'static, Option<Placement>>>,
    current: Option<Attempt>,
    /// Attempts at silent servers.
    standbys: Vec<Attempt>,
    /// Time from which silence is looked at again.
    asks_at: Instant,
}

impl Race {
    pub(crate) fn new(dispatch: Dispatch) -> Self {
        Race {
            dispatch,
            placing: None,
            current: None,
            standbys: Vec::new(),
            asks_at: Instant::default(),
        }
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the problem if the call is given up.
    pub(crate) async fn next(&mut self) -> Result<Piece, Problem> {
        if let Some(attempt) = &mut self.current {
            attempt.begin_wait();
        }
        loop {
            if self.current.is_none() && self.placing.is_none() {
                self.placing = Some(Box::pin(self.dispatch.plan().place()));
            }
            let piece = match self.wait().await {
                Occurrence::Current(Ok(piece)) => self.accept_current(piece).await?,
                Occurrence::Current(Err(failure)) => {
                    self.end_current(&failure).await?;
                    None
                }
                Occurrence::Standby(idx, Ok(piece)) => self.accept_standby(idx, piece),
                Occurrence::Standby(idx, Err(failure)) => {
                    let attempt = self.standbys.swap_remove(idx);
                    self.dispatch.record_standby_failure(&failure, &attempt);
                    None
                }
                Occurrence::Placed(placement) => {
                    self.begin_attempt(placement).await?;
                    None
                }
                Occurrence::Silence => {
                    self.handle_silence();
                    None
                }
                Occurrence::Deadline => return Err(self.end_at_deadline()),
            };
            if let Some(piece) = piece {
                return Ok(piece);
            }
        }
    }

    /// Returns whether an attempt is in progress.
    pub(crate) fn is_under_way(&self) -> bool {
        self.current.is_some()
    }

    /// Drops the attempts, which ends the work at their servers.
    pub(crate) fn abandon(&mut self) {
        self.current = None;
        self.standbys.clear();
    }

    /// Records a complete answer that is not a stream.
    pub(crate) fn record_answer(&mut self) {
        if let Some(attempt) = self.current.take() {
            self.dispatch.record_answer(&attempt);
        }
    }

    /// Records a complete stream and reads the answer to its end, so that the connection can be
    /// reused.
    pub(crate) fn finish_stream(&mut self) {
        if let Some(attempt) = self.current.take() {
            self.dispatch.record_stream(&attempt);
            ntex::rt::spawn(attempt.drain());
        }
    }

    /// Waits until an attempt brings something or fails, a target is chosen or a time has come.
    async fn wait(&mut self) -> Occurrence {
        loop {
            let now = self.dispatch.now();
            let deadline = self.dispatch.call.deadline;
            // Bytes that arrive without a pause do not extend the deadline.
            if now >= deadline {
                return Occurrence::Deadline;
            }
            let silent_at = self.silent_at();
            if silent_at.is_some_and(|silent_at| now >= silent_at) {
                // A worker that is late reads what has arrived meanwhile.
                return poll_fn(|cx| match self.poll_attempts(cx) {
                    Poll::Ready(occurrence) => Poll::Ready(occurrence),
                    Poll::Pending => Poll::Ready(Occurrence::Silence),
                })
                .await;
            }
            let wake = silent_at.map_or(deadline, |silent_at| deadline.min(silent_at));
            let timer = pin!(time::sleep(to_timer_millis(wake.since(now))));
            let arrival = pin!(poll_fn(|cx| self.poll_attempts(cx)));
            if let Either::Left((occurrence, _)) = select(arrival, timer).await {
                return occurrence;
            }
        }
    }

    fn poll_attempts(&mut self, cx: &mut Context<'_>) -> Poll<Occurrence> {
        for (idx, standby) in self.standbys.iter_mut().enumerate() {
            if let Poll::Ready(result) = standby.poll_piece(cx) {
                return Poll::Ready(Occurrence::Standby(idx, result));
            }
        }
        if let Some(attempt) = &mut self.current {
            return attempt.poll_piece(cx).map(Occurrence::Current);
        }
        let Some(placing) = &mut self.placing else {
            return Poll::Pending;
        };
        let placed = placing.as_mut().poll(cx);
        if placed.is_ready() {
            self.placing = None;
        }
        placed.map(Occurrence::Placed)
    }

    /// Returns the time from which the current attempt's server counts as silent, or at which another
    /// attempt is asked for again.
    fn silent_at(&self) -> Option<Instant> {
        let attempt = self.current.as_ref()?;
        Some(match attempt.is_silent {
            true => self.asks_at,
            false => attempt.silent_at().max(self.asks_at),
        })
    }

    /// Makes the attempt at a chosen target the current one.
    ///
    /// # Errors
    ///
    /// Returns the problem if there is no target and the caller has nothing of the answer.
    async fn begin_attempt(&mut self, placement: Option<Placement>) -> Result<(), Problem> {
        if let Some(placement) = placement {
            self.current = Some(self.dispatch.begin(placement));
            return Ok(());
        }
        if self.return_to_standby(Cause::NoServer) {
            return Ok(());
        }
        if !self.dispatch.is_partially_answered() {
            return Err(self.dispatch.take_no_server_problem());
        }
        self.dispatch.explain_wait(Cause::NoServer, None);
        self.pause().await;
        Ok(())
    }

    /// Goes on with the latest attempt at a silent server; returns false if there is none.
    fn return_to_standby(&mut self, cause: Cause) -> bool {
        self.current = self.standbys.pop();
        let Some(attempt) = &self.current else {
            return false;
        };
        self.dispatch.return_to_silent(None);
        self.dispatch.explain_wait(cause, Some(attempt));
        self.asks_at = self.dispatch.now() + RETRY_INTERVAL;
        true
    }

    /// Waits until another attempt is asked for again.
    async fn pause(&self) {
        let remaining = self.dispatch.remaining();
        time::sleep(to_timer_millis(remaining.min(RETRY_INTERVAL))).await;
    }

    /// Begins another attempt beside one whose server is silent, if that is allowed.
    fn handle_silence(&mut self) {
        let Some(mut attempt) = self.current.take() else {
            return;
        };
        let is_new = !std::mem::replace(&mut attempt.is_silent, true);
        match self.dispatch.record_silence(&attempt, is_new) {
            Verdict::Reconnect | Verdict::Elsewhere => self.standbys.push(attempt),
            Verdict::Wait(cause) | Verdict::GiveUp(cause) => {
                self.dispatch.explain_wait(cause, Some(&attempt));
                self.current = Some(attempt);
                self.asks_at = match cause {
                    Cause::MayHaveRun | Cause::Deadline => self.dispatch.call.deadline,
                    Cause::Budget | Cause::Attempts | Cause::NoServer => {
                        self.dispatch.now() + RETRY_INTERVAL
                    }
                };
            }
        }
    }

    /// Records the failure of the current attempt and finds out what follows.
    ///
    /// # Errors
    ///
    /// Returns the problem if the call is given up.
    async fn end_current(&mut self, failure: &ExchangeFailure) -> Result<(), Problem> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        let (mut verdict, problem) = self.dispatch.record_failure(failure, &attempt);
        drop(attempt);
        loop {
            match verdict {
                Verdict::Reconnect | Verdict::Elsewhere => return Ok(()),
                Verdict::GiveUp(Cause::Deadline) => return Err(problem.into_deadline()),
                Verdict::Wait(cause) | Verdict::GiveUp(cause) if self.return_to_standby(cause) => {
                    return Ok(());
                }
                Verdict::Wait(cause) => {
                    self.dispatch.explain_wait(cause, None);
                    self.pause().await;
                    verdict = self.dispatch.retry(failure);
                }
                Verdict::GiveUp(_) => return Err(problem),
            }
        }
    }

    /// Ends the call because its deadline has passed.
    fn end_at_deadline(&mut self) -> Problem {
        self.standbys.clear();
        let step = match &self.current {
            Some(attempt) => attempt.step(),
            None => self.dispatch.furthest(),
        };
        let failure = ExchangeFailure::new(Fault::Deadline, step, "the deadline passed");
        match self.current.take() {
            Some(attempt) => self.dispatch.record_failure(&failure, &attempt).1,
            None => match self.dispatch.take_last_problem() {
                Some(problem) => problem.into_deadline(),
                None => Problem::new(Fault::Deadline.reason(), step, &failure.detail),
            },
        }
    }

    /// Takes a part of the answer from the current attempt; returns none if it is not usable.
    ///
    /// # Errors
    ///
    /// Returns the problem if the call is given up.
    async fn accept_current(&mut self, piece: Piece) -> Result<Option<Piece>, Problem> {
        let Some(attempt) = &mut self.current else {
            return Ok(None);
        };
        match self.dispatch.accept(piece, attempt) {
            Ok(piece) => {
                self.standbys.clear();
                Ok(Some(piece))
            }
            Err(failure) => {
                self.end_current(&failure).await?;
                Ok(None)
            }
        }
    }

    /// Takes a part of the answer from a silent server that goes on; returns none if it is not usable.
    fn accept_standby(&mut self, idx: usize, piece: Piece) -> Option<Piece> {
        let mut attempt = self.standbys.swap_remove(idx);
        match self.dispatch.accept(piece, &mut attempt) {
            Ok(piece) => {
                self.placing = None;
                let abandoned = self.current.replace(attempt);
                let abandoned = abandoned.map(|attempt| attempt.target.name.clone());
                self.dispatch.return_to_silent(abandoned.as_deref());
                self.standbys.clear();
                Some(piece)
            }
            Err(failure) => {
                self.dispatch.record_standby_failure(&failure, &attempt);
                None
            }
        }
    }
}
