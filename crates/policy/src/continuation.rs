//! Decides whether a part of an answer continues a stream of which the caller has a part.
//!
//! Once the head of a stream is sent, an answer of another server can only follow it event by event.
//! Such an answer is known to continue the stream once it brings the event after the last one that the
//! caller has; until then nothing of it is passed on. An error's text, an empty success or a run that
//! begins anew has no such event.
//!
//! Numbers need only increase, and within one answer any higher one follows. Where they have grown by
//! one, another answer goes on with the next number, or shows that its numbers skip. Where they do not, an
//! answer continues the stream if its first number is higher than the one after which the server was asked
//! to go on: a server that goes on may cut the text into other events than the one before it, and a run that
//! begins anew starts below.

use std::fmt;

use crate::ending::Framing;

/// Content type of a stream of events.
const EVENTS: &str = "text/event-stream";

/// Kind of an answer's body, as its head states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Media {
    /// A stream of events.
    Events,
    /// Something else.
    Other,
    /// The head states none.
    Unstated,
}

/// What the head of an answer says of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Form {
    /// HTTP status.
    pub status: u16,
    /// Kind of the body.
    pub media: Media,
}

impl Form {
    /// Creates the form of an answer with a status and the bytes of a content type.
    #[must_use]
    pub fn new(status: u16, content_type: Option<&[u8]>) -> Self {
        let media = match content_type {
            None => Media::Unstated,
            Some(name) if is_events(name) => Media::Events,
            Some(_) => Media::Other,
        };
        Form { status, media }
    }

    /// Returns whether the body is to be read as a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        // Answers with status 204 or 205 have no body.
        let has_body = matches!(self.status, 200..=203 | 206..=299);
        has_body && self.media != Media::Other
    }
}

fn is_events(content_type: &[u8]) -> bool {
    let name = content_type.split(|byte| *byte == b';').next();
    let name = name.unwrap_or_default().trim_ascii();
    name.eq_ignore_ascii_case(EVENTS.as_bytes())
}

/// Number of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Label {
    /// The event has a number.
    Number(u64),
    /// The event has no number, or one that cannot be read.
    Missing,
    /// Comments and settings alone, which callers do not take for an event.
    Silent,
}

/// How the numbers of a stream grow from one event to the next of the same answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Growth {
    /// No answer has brought two events.
    #[default]
    Unknown,
    /// By one.
    ByOne,
    /// By more than one at least once.
    Uneven,
}

/// Reason why a part of an answer does not follow what the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Objection {
    /// The answer is not of the form of the one that began the stream.
    Form(Form),
    /// An event has no number, and the caller has others.
    Unnumbered,
    /// The number of an event does not follow the previous one of the same answer.
    Order(u64),
    /// Events are missing before one with this number.
    Gap(u64),
    /// The caller has events without numbers, so that the next one cannot be told.
    Untold,
    /// The answer begins before the last event that the caller has, and its events cannot be told to be
    /// the same.
    Restarted,
    /// The answer ends before the last event that the caller has.
    Short,
    /// The answer has no event, and nothing says that it is a stream with nothing left.
    Empty,
}

impl fmt::Display for Objection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Objection::Form(form) => {
                write!(
                    f,
                    "status {} with another body in place of a stream",
                    form.status
                )
            }
            Objection::Unnumbered => f.write_str("an event of a numbered stream has no number"),
            Objection::Order(number) => write!(f, "event {number} came out of order"),
            Objection::Gap(number) => write!(f, "events are missing before event {number}"),
            Objection::Untold => f.write_str("the stream has no numbers to go on from"),
            Objection::Restarted => f.write_str("the answer begins before what the caller has"),
            Objection::Short => f.write_str("the stream ended before what the caller has"),
            Objection::Empty => f.write_str("an empty answer in place of a stream"),
        }
    }
}

/// An answer beside what the caller has when the request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Form of the answer whose head the caller has, if it has one.
    begun: Option<Form>,
    form: Option<Form>,
    /// Number of the event after which the server was asked to go on.
    after: Option<u64>,
    /// How the numbers that the caller has grew when the request was sent.
    growth: Growth,
    /// Number of the latest event of this answer.
    last: Option<u64>,
    /// Number of the event after the first one, if the answer was read on that far.
    second: Option<u64>,
    /// Whether the numbers of this answer grew by more than one.
    is_uneven: bool,
    /// Whether the answer has the last event that the caller has, or one before it.
    has_repeats: bool,
    /// Whether the answer begins before the last event that the caller has.
    begins_before: bool,
    /// Whether the answer is known to continue what the caller has.
    is_joined: bool,
}

impl Source {
    /// Takes the form of the answer.
    ///
    /// # Errors
    ///
    /// Returns an objection if the answer cannot continue the stream.
    pub fn receive(&mut self, form: Form) -> Result<(), Objection> {
        self.form = Some(form);
        match self.begun {
            Some(begun) if !form.is_stream() || form.status != begun.status => {
                Err(Objection::Form(form))
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Returns whether the body is read as a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.form.is_some_and(Form::is_stream)
    }

    /// Returns whether only what comes after an event, the next one of the answer, tells if events are
    /// missing before it.
    #[must_use]
    pub fn is_ambiguous(&self, label: Label) -> bool {
        let Label::Number(number) = label else {
            return false;
        };
        let is_ahead = self
            .after
            .is_some_and(|after| number > after.saturating_add(1));
        is_ahead && self.last.is_none() && self.growth != Growth::Uneven
    }

    /// Takes the label of the event after an ambiguous one, before that one is accepted.
    pub fn look_ahead(&mut self, label: Label) {
        if let Label::Number(number) = label {
            self.second = Some(number);
        }
    }

    /// Takes the number of the next event and returns that of the one before it.
    ///
    /// # Errors
    ///
    /// Returns an objection if the number is not higher.
    fn advance(&mut self, number: u64) -> Result<Option<u64>, Objection> {
        let previous = self.last.replace(number);
        if previous.is_some_and(|previous| number <= previous) {
            return Err(Objection::Order(number));
        }
        // Numbers need only increase, and a connection loses nothing within an answer.
        self.is_uneven |= previous.is_some_and(|previous| number - previous > 1);
        Ok(previous)
    }

    /// Returns whether the numbers of the answer are known to grow by one from its first event on.
    fn grows_by_one(&self, first: u64) -> bool {
        self.second.is_some() && self.second == first.checked_add(1)
    }

    /// Returns whether the numbers of the answer are known to grow by more than one after its first event.
    fn skips_after(&self, first: u64) -> bool {
        self.second
            .is_some_and(|second| second > first.saturating_add(1))
    }

    /// Returns whether an answer without events states that it is a stream, and its own end.
    fn is_empty_stream(&self, framing: Framing) -> bool {
        let is_ended = match framing {
            Framing::Chunks | Framing::Length => true,
            // The server was asked whether it runs. A first answer is better had from another one.
            Framing::Connection => self.begun.is_some(),
        };
        let media = self.form.map(|form| form.media);
        let is_like = |begun: Form| media == Some(Media::Events) || media == Some(begun.media);
        is_ended && self.begun.is_none_or(is_like)
    }
}

/// What the caller has of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Form of the answer whose head the caller has.
    begun: Option<Form>,
    /// Number of the last event.
    last: Option<u64>,
    /// How the numbers grow.
    growth: Growth,
    /// Number with which another answer went on although it is not the next one and numbers grew by one.
    doubted: Option<u64>,
    /// Whether the caller has events without numbers.
    has_unnumbered: bool,
}

impl Position {
    /// Creates the position of a caller that has nothing of this answer; it may have events of an
    /// earlier one up to a number.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Position {
            begun: None,
            last,
            growth: Growth::Unknown,
            doubted: None,
            has_unnumbered: false,
        }
    }

    /// Gets the number of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether another answer can be known to continue the stream.
    #[must_use]
    pub fn can_be_continued(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns the state of an answer to a request that is sent now.
    #[must_use]
    pub fn begin(&self) -> Source {
        Source {
            begun: self.begun,
            form: None,
            after: self.last,
            growth: self.growth,
            last: None,
            second: None,
            is_uneven: false,
            has_repeats: false,
            begins_before: false,
            is_joined: false,
        }
    }

    /// Takes the next event of an answer, and returns whether it is to be passed on; others repeat what
    /// the caller has, or come from an answer that is not yet known to continue the stream.
    ///
    /// # Errors
    ///
    /// Returns an objection if the event does not follow what the caller has.
    pub fn accept(&mut self, source: &mut Source, label: Label) -> Result<bool, Objection> {
        let is_new = match label {
            Label::Silent => source.is_joined || source.begun.is_none(),
            Label::Missing => self.accept_unnumbered(source)?,
            Label::Number(number) => self.accept_number(source, number)?,
        };
        if is_new {
            source.is_joined |= label != Label::Silent;
            self.begun = self.begun.or(source.form);
        }
        Ok(is_new)
    }

    fn accept_unnumbered(&mut self, source: &Source) -> Result<bool, Objection> {
        if self.has_unnumbered && !source.is_joined {
            return Err(Objection::Untold);
        }
        if self.last.is_some() && !self.has_unnumbered {
            return Err(Objection::Unnumbered);
        }
        self.has_unnumbered = true;
        Ok(true)
    }

    /// Returns whether an event with a number is new to the caller.
    fn accept_number(&mut self, source: &mut Source, number: u64) -> Result<bool, Objection> {
        let previous = source.advance(number)?;
        if self.has_unnumbered && !source.is_joined {
            return Err(Objection::Untold);
        }
        if let Some(last) = self.last {
            if number <= last {
                source.has_repeats = true;
                source.begins_before |= number < last;
                return Ok(false);
            }
            let is_next_of_answer = source.is_joined && previous == Some(last);
            if !is_next_of_answer {
                self.check_join(source, last, number)?;
            }
        }
        let is_own_step = previous.is_some() && previous == self.last;
        if is_own_step || self.growth == Growth::ByOne {
            self.record_step(number);
        }
        self.last = Some(number);
        self.doubted = None;
        Ok(true)
    }

    /// Checks whether the first event of an answer that the caller does not have follows its last one.
    fn check_join(&mut self, source: &Source, last: u64, number: u64) -> Result<(), Objection> {
        let is_next = last.checked_add(1) == Some(number);
        // A run that was sent on from elsewhere, or from its beginning, may have passed what is next.
        let goes_on = source.after == Some(last) && !source.has_repeats;
        let is_joined = match self.growth {
            Growth::ByOne if goes_on => {
                is_next || self.doubted == Some(number) || source.skips_after(number)
            }
            Growth::ByOne => is_next && !source.is_uneven,
            Growth::Unknown if goes_on => is_next || !source.grows_by_one(number),
            Growth::Unknown => is_next && !source.is_uneven,
            Growth::Uneven => goes_on,
        };
        if is_joined {
            return Ok(());
        }
        if self.growth == Growth::ByOne && goes_on {
            self.doubted = Some(number);
        }
        match source.has_repeats && self.growth != Growth::ByOne {
            true => Err(Objection::Restarted),
            false => Err(Objection::Gap(number)),
        }
    }

    /// Records how the number of an event grew from the last one, which is of the same answer unless numbers
    /// grew by one so far.
    fn record_step(&mut self, number: u64) {
        let is_by_one = self.last.and_then(|last| last.checked_add(1)) == Some(number);
        self.growth = match (self.growth, is_by_one) {
            (Growth::Unknown | Growth::ByOne, true) => Growth::ByOne,
            (Growth::Uneven, _) | (_, false) => Growth::Uneven,
        };
    }

    /// Returns whether an answer has begun before the last event that the caller has, with events that
    /// may be others.
    fn is_restarted(&self, source: &Source) -> bool {
        source.begins_before
            && match self.growth {
                Growth::ByOne => false,
                Growth::Unknown => source.is_uneven,
                Growth::Uneven => true,
            }
    }

    /// Checks whether the end of an answer is the end of the stream.
    ///
    /// An answer that is not known to continue the stream ends it only if its events end with the last
    /// one that the caller has, or if it has none, states its own end and is of the form of the answer
    /// that began the stream. Whether the server of an empty answer knows where the stream ends cannot
    /// be told.
    ///
    /// # Errors
    ///
    /// Returns an objection if it is not.
    pub fn check_end(&self, source: &Source, framing: Framing) -> Result<(), Objection> {
        if source.is_joined {
            return Ok(());
        }
        if self.has_unnumbered {
            return Err(Objection::Untold);
        }
        match source.last {
            Some(_) if self.is_restarted(source) => Err(Objection::Restarted),
            Some(_) if source.last == self.last => Ok(()),
            Some(_) => Err(Objection::Short),
            None if source.is_empty_stream(framing) => Ok(()),
            None => Err(Objection::Empty),
        }
    }
}
