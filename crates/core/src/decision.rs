//! Records that explain decisions: cause, inputs seen, ways weighed and the way taken.

use std::collections::VecDeque;
use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a decision is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", content = "name", rename_all = "kebab-case")]
pub enum Subject {
    /// A replica group.
    Group(CompactString),
    /// A VM.
    Vm(CompactString),
    /// A request, by its identity.
    Request(CompactString),
    /// A release, by its revision.
    Release(CompactString),
    /// A node of the system.
    Node(CompactString),
    /// A team.
    Team(CompactString),
    /// An availability zone.
    Zone(CompactString),
}

impl Subject {
    /// Gets the name without its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Subject::Group(name)
            | Subject::Vm(name)
            | Subject::Request(name)
            | Subject::Release(name)
            | Subject::Node(name)
            | Subject::Team(name)
            | Subject::Zone(name) => name,
        }
    }

    /// Gets the kind.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Subject::Group(_) => "group",
            Subject::Vm(_) => "vm",
            Subject::Request(_) => "request",
            Subject::Release(_) => "release",
            Subject::Node(_) => "node",
            Subject::Team(_) => "team",
            Subject::Zone(_) => "zone",
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind(), self.name())
    }
}

/// An input that the decision saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Input {
    /// What was looked at.
    pub name: CompactString,
    /// What was seen.
    pub value: CompactString,
}

/// A way that was weighed and not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// The way.
    pub way: CompactString,
    /// Why it was not taken.
    pub against: CompactString,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Place in the node's log; grows by one with each decision.
    pub sequence: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Node that decided.
    pub node: CompactString,
    /// All that the decision is about, the main subject first.
    pub subjects: Vec<Subject>,
    /// What made the decision necessary.
    pub cause: CompactString,
    /// Inputs seen.
    pub inputs: Vec<Input>,
    /// Ways weighed and not taken.
    pub weighed: Vec<Alternative>,
    /// The way taken.
    pub taken: CompactString,
}

impl Decision {
    /// Creates a decision; the log fills in sequence, time and node.
    #[must_use]
    pub fn new(subject: Subject, cause: impl ToString, taken: impl ToString) -> Self {
        Decision {
            sequence: 0,
            at_unix_ms: 0,
            node: CompactString::default(),
            subjects: vec![subject],
            cause: cause.to_string().into(),
            inputs: Vec::new(),
            weighed: Vec::new(),
            taken: taken.to_string().into(),
        }
    }

    /// Adds a subject.
    #[must_use]
    pub fn with_subject(mut self, subject: Subject) -> Self {
        self.subjects.push(subject);
        self
    }

    /// Adds an input.
    #[must_use]
    pub fn with_input(mut self, name: &str, value: impl ToString) -> Self {
        self.inputs.push(Input {
            name: name.into(),
            value: value.to_string().into(),
        });
        self
    }

    /// Adds a way that was not taken.
    #[must_use]
    pub fn with_alternative(mut self, way: impl ToString, against: impl ToString) -> Self {
        self.weighed.push(Alternative {
            way: way.to_string().into(),
            against: against.to_string().into(),
        });
        self
    }
}

/// The last decisions of a node, in order.
#[derive(Debug)]
pub struct Log {
    node: CompactString,
    capacity: usize,
    next: u64,
    decisions: VecDeque<Decision>,
}

impl Log {
    /// Creates an empty log that keeps the last `capacity` decisions.
    #[must_use]
    pub fn new(node: &str, capacity: usize) -> Self {
        Log {
            node: node.into(),
            capacity,
            next: 1,
            decisions: VecDeque::new(),
        }
    }

    /// Adds a decision and returns it with sequence, time and node filled in.
    pub fn record(&mut self, mut decision: Decision, unix_millis: u64) -> Decision {
        decision.sequence = self.next;
        decision.at_unix_ms = unix_millis;
        decision.node = self.node.clone();
        self.next += 1;
        if self.decisions.len() == self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision.clone());
        decision
    }

    /// Iterates over decisions after a sequence number, oldest first.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = &Decision> {
        self.decisions
            .iter()
            .filter(move |decision| decision.sequence > sequence)
    }

    /// Iterates over decisions about a subject's name, oldest first.
    pub fn about<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Decision> {
        self.decisions.iter().filter(move |decision| {
            decision
                .subjects
                .iter()
                .any(|subject| subject.name() == name)
        })
    }
}
