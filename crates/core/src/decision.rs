//! Records that explain decisions: cause, inputs, rejected alternatives and the chosen action.

use std::collections::VecDeque;
use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An object that a decision concerns.
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

/// An input of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Input {
    /// Name of the quantity or state.
    pub name: CompactString,
    /// Value at the time of the decision.
    pub value: CompactString,
}

/// An alternative that was considered and rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// The rejected action.
    pub way: CompactString,
    /// Reason for the rejection.
    pub against: CompactString,
}

/// A decision with its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Number in the node's log; grows by one with each decision.
    pub sequence: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Node that made the decision.
    pub node: CompactString,
    /// Subjects of the decision, the main subject first.
    pub subjects: Vec<Subject>,
    /// What made the decision necessary.
    pub cause: CompactString,
    /// Inputs that were considered.
    pub inputs: Vec<Input>,
    /// Alternatives that were considered and rejected.
    pub weighed: Vec<Alternative>,
    /// The chosen action.
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

    /// Adds a rejected alternative with the reason for the rejection.
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
    next_sequence: u64,
    decisions: VecDeque<Decision>,
}

impl Log {
    /// Creates an empty log that keeps the last `capacity` decisions.
    #[must_use]
    pub fn new(node: &str, capacity: usize) -> Self {
        Log {
            node: node.into(),
            capacity,
            next_sequence: 1,
            decisions: VecDeque::new(),
        }
    }

    /// Adds a decision and returns it with sequence, time and node filled in; drops the oldest
    /// decision of a full log.
    pub fn record(&mut self, mut decision: Decision, unix_millis: u64) -> Decision {
        decision.sequence = self.next_sequence;
        decision.at_unix_ms = unix_millis;
        decision.node = self.node.clone();
        self.next_sequence += 1;
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

    /// Iterates over decisions with a subject of the given name, oldest first.
    pub fn about<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Decision> {
        self.decisions.iter().filter(move |decision| {
            decision
                .subjects
                .iter()
                .any(|subject| subject.name() == name)
        })
    }
}
