//! Gets an answer to a request by one attempt after another.
//!
//! The attempt at a silent server is kept beside the next one, since a sound server may go on at any
//! time. The first attempt that brings something new to the caller wins, and the others are dropped.
//! A caller that has a part of its answer waits for a retry or a target until the request is due.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::future::{Either, select};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::retry::{ExchangeFailure, Fault, Verdict};
use tokio::time;

use crate::attempt::{Attempt, Piece};
use crate::dispatch::{Dispatch, Obstacle};
use crate::refusal::Refusal;

/// Shortest wait between two looks at the time.
const MIN_WAIT: Millis = Millis(10);
/// Time to read what has arrived before a wait is given up.
const READ_TIME: Millis = Millis(20);
/// Interval at which a request asks again whether another attempt is allowed.
const RETRY_INTERVAL: Millis = Millis(100);

/// What ended a wait.
enum Occurrence {
    /// An attempt beside the current one brought something or failed.
    Standby(usize, Result<Piece, ExchangeFailure>),
    /// The current attempt brought something or failed.
    Current(Result<Piece, ExchangeFailure>),
    /// The current attempt has reached a further step, which has a time-out of its own.
    Step,
    /// Nothing arrived from the current attempt's server within a time-out.
    Silence,
    /// The request is due.
    Due,
}

/// The attempts at one request.
pub(crate) struct Race {
    pub(crate) dispatch: Dispatch,
    current: Option<Attempt>,
    /// Attempts at silent servers.
    standbys: Vec<Attempt>,
    /// Time from which silence is looked at again.
    asks_at: Instant,
    /// Time at which the request was first seen to be due.
    due_since: Option<Instant>,
}

impl Race {
    pub(crate) fn new(dispatch: Dispatch) -> Self {
        Race {
            dispatch,
            current: None,
            standbys: Vec::new(),
            asks_at: Instant::default(),
            due_since: None,
        }
    }

    /// Gets the attempt in progress; after a part of the answer, the one that brought it.
    pub(crate) fn current(&self) -> Option<&Attempt> {
        self.current.as_ref()
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is given up.
    pub(crate) async fn next(&mut self) -> Result<Piece, Refusal> {
        loop {
            if self.current.is_none() {
                self.begin_attempt().await?;
            }
            let piece = match self.wait().await {
                Occurrence::Current(Ok(piece)) => self.accept_current(piece).await?,
                Occurrence::Current(Err(error)) => {
                    self.end_current(&error).await?;
                    None
                }
                Occurrence::Standby(idx, Ok(piece)) => self.accept_standby(idx, piece).await,
                Occurrence::Standby(idx, Err(error)) => {
                    let attempt = self.standbys.swap_remove(idx);
                    self.dispatch.log_failure(&error, &attempt, None).await;
                    None
                }
                Occurrence::Step => None,
                Occurrence::Silence => {
                    self.handle_silence();
                    None
                }
                Occurrence::Due => {
                    let step = self.current.as_ref().map(Attempt::step);
                    let step = step.unwrap_or(self.dispatch.furthest());
                    let error = ExchangeFailure::new(Fault::Deadline, step, "no answer in time");
                    self.standbys.clear();
                    self.end_current(&error).await?;
                    None
                }
            };
            if let Some(piece) = piece {
                return Ok(piece);
            }
        }
    }

    /// Makes the next attempt the current one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no other attempt and the caller has nothing of the answer, unless
    /// the request is only held, or if the request is due.
    async fn begin_attempt(&mut self) -> Result<(), Refusal> {
        loop {
            let obstacle = match self.dispatch.begin() {
                Ok(attempt) => {
                    self.current = Some(attempt);
                    return Ok(());
                }
                Err(obstacle) => obstacle,
            };
            if let Obstacle::Unasked(candidate) = &obstacle {
                self.dispatch.ask(candidate).await;
                continue;
            }
            if self.return_to_standby() {
                return Ok(());
            }
            let (refusal, waits) = match obstacle {
                Obstacle::Refused(refusal) => (refusal, self.dispatch.is_partially_answered()),
                Obstacle::Held(refusal) => (refusal, true),
                Obstacle::Unasked(_) => continue,
            };
            if !waits || self.dispatch.is_due() {
                return Err(refusal);
            }
            self.pause().await;
        }
    }

    /// Goes on with the latest attempt at a silent server; returns false if there is none.
    fn return_to_standby(&mut self) -> bool {
        self.current = self.standbys.pop();
        if self.current.is_some() {
            self.dispatch.return_to_silent(None);
            self.asks_at = self.dispatch.node.now() + RETRY_INTERVAL;
        }
        self.current.is_some()
    }

    /// Waits before the next attempt if connections were reset one after the other, and no other attempt is in
    /// progress.
    async fn back_off(&self) {
        let pause = self.dispatch.pause();
        if pause > Millis(0) && self.standbys.is_empty() {
            self.sleep(pause).await;
        }
    }

    /// Waits until it is asked again whether another attempt is allowed.
    async fn pause(&self) {
        self.sleep(RETRY_INTERVAL).await;
    }

    /// Sleeps for a time, but not beyond that at which the request is due.
    async fn sleep(&self, span: Millis) {
        let node = &self.dispatch.node;
        let due = self.dispatch.due().min(node.now() + span);
        time::sleep(node.until(due)).await;
    }

    /// Waits until an attempt brings something or fails, a time-out passes or the request is due.
    async fn wait(&mut self) -> Occurrence {
        if self.has_read_time_passed() {
            return Occurrence::Due;
        }
        loop {
            let node = &self.dispatch.node;
            let now = node.now();
            // A stop that is requested meanwhile ends the request no earlier than this.
            let stopped = now + node.stop_limits().answer.max(MIN_WAIT);
            let wake = self.dispatch.due().min(stopped);
            let wake = self.silent_at().map_or(wake, |silent| wake.min(silent));
            let timeout = pin!(time::sleep(node.until(wake)));
            let stalls_changed = Rc::clone(node);
            let stalls_changed = pin!(stalls_changed.stalls_changed.notified());
            let arrival = pin!(poll_fn(|cx| self.poll_attempts(cx)));
            let pause = select(timeout, stalls_changed);
            if let Either::Left((occurrence, _)) = select(arrival, pause).await {
                return occurrence;
            }
            let now = self.dispatch.node.now();
            let occurrence = if now >= self.dispatch.due() {
                Occurrence::Due
            } else if self.silent_at().is_some_and(|silent| now >= silent) {
                Occurrence::Silence
            } else {
                continue;
            };
            // A node that is late reads what has arrived meanwhile.
            let arrival = poll_fn(|cx| self.poll_attempts(cx));
            return time::timeout(READ_TIME.duration(), arrival)
                .await
                .unwrap_or(occurrence);
        }
    }

    /// Returns whether the request has been due for [`READ_TIME`]; parts of an answer that follow each
    /// other without a pause do not extend it.
    fn has_read_time_passed(&mut self) -> bool {
        if !self.dispatch.is_due() {
            return false;
        }
        let now = self.dispatch.node.now();
        let due_since = *self.due_since.get_or_insert(now);
        now.since(due_since) > READ_TIME
    }

    fn poll_attempts(&mut self, cx: &mut Context<'_>) -> Poll<Occurrence> {
        for (idx, standby) in self.standbys.iter_mut().enumerate() {
            if let Poll::Ready(result) = standby.poll_piece(cx) {
                return Poll::Ready(Occurrence::Standby(idx, result));
            }
        }
        let Some(attempt) = &mut self.current else {
            return Poll::Pending;
        };
        let step = attempt.step();
        match attempt.poll_piece(cx) {
            Poll::Ready(result) => Poll::Ready(Occurrence::Current(result)),
            Poll::Pending if attempt.step() != step => Poll::Ready(Occurrence::Step),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Returns the time from which the current attempt's server counts as silent, or none if the
    /// request could not be sent to another one.
    fn silent_at(&self) -> Option<Instant> {
        let attempt = self.current.as_ref()?;
        let silent_at = self.dispatch.silent_at(attempt)?;
        Some(silent_at.max(self.asks_at))
    }

    /// Begins another attempt beside one whose server is silent, if that is allowed.
    fn handle_silence(&mut self) {
        let Some(mut attempt) = self.current.take() else {
            return;
        };
        let is_new = !std::mem::replace(&mut attempt.is_silent, true);
        let verdict = self.dispatch.record_silence(&attempt, is_new);
        match verdict {
            Verdict::Reconnect | Verdict::Elsewhere => self.standbys.push(attempt),
            Verdict::Wait(_) | Verdict::GiveUp(_) => {
                self.current = Some(attempt);
                self.asks_at = self.dispatch.node.now() + RETRY_INTERVAL;
            }
        }
    }

    /// Records the failure of the current attempt and finds out what follows.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is given up.
    async fn end_current(&mut self, error: &ExchangeFailure) -> Result<(), Refusal> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        let mut verdict = self.dispatch.record_failure(error, &attempt).await;
        drop(attempt);
        loop {
            match verdict {
                Verdict::Reconnect | Verdict::Elsewhere => {
                    self.back_off().await;
                    return Ok(());
                }
                Verdict::Wait(_) | Verdict::GiveUp(_) if self.return_to_standby() => return Ok(()),
                Verdict::Wait(_) => {
                    self.pause().await;
                    verdict = self.dispatch.retry();
                }
                Verdict::GiveUp(cause) => return Err(self.dispatch.give_up(cause, error)),
            }
        }
    }

    /// Takes a part of the answer from the current attempt; none if it brings nothing new.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the answer is not usable and the request is given up.
    async fn accept_current(&mut self, piece: Piece) -> Result<Option<Piece>, Refusal> {
        let Some(mut attempt) = self.current.take() else {
            return Ok(None);
        };
        let is_last = self.standbys.is_empty();
        let examined = self.dispatch.examine(piece, &mut attempt, is_last);
        self.current = Some(attempt);
        match examined {
            Ok(Some(piece)) => {
                self.standbys.clear();
                Ok(Some(piece))
            }
            Ok(None) => Ok(None),
            Err(error) => {
                self.end_current(&error).await?;
                Ok(None)
            }
        }
    }

    /// Takes a part of the answer from a silent server that goes on; none if it brings nothing new.
    async fn accept_standby(&mut self, idx: usize, piece: Piece) -> Option<Piece> {
        let mut attempt = self.standbys.swap_remove(idx);
        match self.dispatch.examine(piece, &mut attempt, false) {
            Ok(Some(piece)) => {
                self.dispatch.log_return(&attempt);
                let abandoned = self.current.replace(attempt);
                let abandoned = abandoned.map(|attempt| attempt.incarnation().clone());
                self.dispatch.return_to_silent(abandoned.as_deref());
                self.standbys.clear();
                Some(piece)
            }
            Ok(None) => {
                self.standbys.push(attempt);
                None
            }
            Err(error) => {
                self.dispatch.log_failure(&error, &attempt, None).await;
                None
            }
        }
    }
}
