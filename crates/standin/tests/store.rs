//! Runs the same calls against the key-value service in memory and over gRPC through the client.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Store, Transaction, Write};
use jackdaw_core::time::ManualClock;
use jackdaw_core::units::Millis;
use jackdaw_platform::etcd::{Bounds, Client};
use jackdaw_standin::store::{Fault, Memory, Server};
use rstest::rstest;
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A call, a fault or a change of the clock.
#[derive(Clone, Copy, Debug)]
enum Call {
    /// Creates a key unless it exists.
    Create(&'static str, &'static str),
    /// Creates a key bound to the last lease.
    CreateLeased(&'static str),
    /// Replaces a value that was last changed at a revision.
    Replace(&'static str, &'static str, u64),
    /// Sets a key that was created at a revision.
    Recreate(&'static str, &'static str, u64),
    /// Creates two keys in one transaction unless the first exists.
    PutTwo(&'static str, &'static str),
    /// Deletes a key.
    Delete(&'static str),
    Get(&'static str),
    List(&'static str),
    /// Grants a lease of some seconds.
    Grant(u64),
    Renew,
    Revoke,
    /// Advances the clock of the service by some seconds.
    Advance(u64),
    /// Ends the last lease as if it had expired.
    Lapse,
    /// Sets the fault for every call.
    Set(Fault),
    /// Plans a fault for the next transaction.
    Plan(Fault),
    /// Watches a prefix from a revision until a number of changes has been received.
    Watch(&'static str, u64, usize),
}

/// A sequence of calls, each with its expected answer.
struct Case {
    calls: &'static [(Call, &'static str)],
}

/// Transport over which the service is called.
#[derive(Clone, Copy, Debug)]
enum Transport {
    InProcess,
    Grpc,
}

/// The service, the store that calls it and the last granted lease.
struct Fixture {
    memory: Memory,
    clock: Arc<ManualClock>,
    store: Box<dyn Store>,
    lease: Lease,
    _server: Option<Server>,
}

impl Fixture {
    fn new(transport: Transport, runtime: &Runtime) -> Self {
        let clock = Arc::new(ManualClock::default());
        let memory = Memory::new(Arc::clone(&clock) as Arc<_>);
        let (store, server): (Box<dyn Store>, _) = match transport {
            Transport::InProcess => (Box::new(memory.clone()), None),
            Transport::Grpc => {
                let server = Server::start(LOOPBACK, memory.clone()).unwrap();
                let client = new_client(runtime, &[server.address()]);
                (Box::new(client), Some(server))
            }
        };
        Fixture {
            memory,
            clock,
            store,
            lease: Lease(0),
            _server: server,
        }
    }

    async fn call(&mut self, call: Call) -> String {
        match call {
            Call::Create(key, value) => {
                let put = put(key, value, None);
                self.commit(Compare::Absent(key.into()), vec![put], key)
                    .await
            }
            Call::CreateLeased(key) => {
                let put = put(key, "", Some(self.lease));
                self.commit(Compare::Absent(key.into()), vec![put], key)
                    .await
            }
            Call::Replace(key, value, revision) => {
                let when = Compare::ModRevision(key.into(), revision);
                self.commit(when, vec![put(key, value, None)], key).await
            }
            Call::Recreate(key, value, revision) => {
                let when = Compare::CreateRevision(key.into(), revision);
                self.commit(when, vec![put(key, value, None)], key).await
            }
            Call::PutTwo(first, second) => {
                let puts = vec![put(first, "", None), put(second, "", None)];
                self.commit(Compare::Absent(first.into()), puts, first)
                    .await
            }
            Call::Delete(key) => {
                let transaction = Transaction {
                    then: vec![Write::Delete(key.into())],
                    ..Transaction::default()
                };
                show(self.store.commit(transaction).await, show_committed)
            }
            Call::Get(key) => show(self.store.get(key).await, |found| {
                found.map_or("none".into(), |entry| show_entry(&entry))
            }),
            Call::List(prefix) => show(self.store.list(prefix).await, |found| show_entries(&found)),
            Call::Grant(seconds) => match self.store.grant(Millis::from_secs(seconds)).await {
                Ok(lease) => {
                    self.lease = lease;
                    "granted".into()
                }
                Err(error) => show_error(&error),
            },
            Call::Renew => show(self.store.renew(self.lease).await, |ttl| ttl.to_string()),
            Call::Revoke => show(self.store.revoke(self.lease).await, |()| "revoked".into()),
            Call::Advance(seconds) => {
                self.clock.advance(Millis::from_secs(seconds));
                self.memory.expire();
                "done".into()
            }
            Call::Lapse => {
                self.memory.lapse(self.lease);
                "done".into()
            }
            Call::Set(fault) => {
                self.memory.set(fault);
                "done".into()
            }
            Call::Plan(fault) => {
                self.memory.plan("", fault);
                "done".into()
            }
            Call::Watch(prefix, from, count) => self.watch(prefix, from, count).await,
        }
    }

    async fn commit(&self, when: Compare, then: Vec<Write>, key: &str) -> String {
        let transaction = Transaction {
            when: vec![when],
            then,
            otherwise: vec![key.into()],
        };
        show(self.store.commit(transaction).await, show_committed)
    }

    async fn watch(&self, prefix: &str, from: u64, count: usize) -> String {
        let mut watch = match self.store.watch(prefix, from).await {
            Ok(watch) => watch,
            Err(error) => return show_error(&error),
        };
        let mut received = Vec::new();
        while received.len() < count {
            let Some(changes) = watch.next().await else {
                break;
            };
            received.extend(changes.iter().map(show_change));
        }
        received.join(" ")
    }
}

fn new_client(runtime: &Runtime, endpoints: &[SocketAddr]) -> Client {
    Client::new(runtime.handle().clone(), endpoints, Bounds::default()).unwrap()
}

fn put(key: &str, value: &str, lease: Option<Lease>) -> Write {
    Write::Put {
        key: key.into(),
        value: value.into(),
        lease,
    }
}

fn show<T>(result: Result<T>, ok: impl FnOnce(T) -> String) -> String {
    result.map_or_else(|error| show_error(&error), ok)
}

fn show_error(error: &Error) -> String {
    let kind = match error {
        Error::Unreachable { .. } => "unreachable",
        Error::Indeterminate { .. } => "indeterminate",
        Error::Refused { .. } => "refused",
        Error::Malformed { .. } => "malformed",
    };
    format!("{kind} at {}", error.step())
}

fn show_committed(committed: Committed) -> String {
    match committed {
        Committed::Yes(revision) => format!("yes {revision}"),
        Committed::No(found) => format!("no {}", show_entries(&found)),
    }
}

fn show_entry(entry: &Entry) -> String {
    let value = String::from_utf8_lossy(&entry.value);
    let (created, changed) = (entry.create_revision, entry.mod_revision);
    format!("{}={value}@{created}/{changed}", entry.key)
}

fn show_entries(entries: &[Entry]) -> String {
    entries.iter().map(show_entry).collect::<Vec<_>>().join(" ")
}

fn show_change(change: &Change) -> String {
    match change {
        Change::Put(entry) => show_entry(entry),
        Change::Delete(key, revision) => format!("-{key}@{revision}"),
    }
}

const REVISIONS: Case = Case {
    calls: &[
        (Call::Get("a"), "none"),
        (Call::Create("a", "1"), "yes 2"),
        (Call::Create("a", "2"), "no a=1@2/2"),
        (Call::Replace("a", "2", 2), "yes 3"),
        (Call::Replace("a", "3", 2), "no a=2@2/3"),
        (Call::Recreate("a", "4", 2), "yes 4"),
        (Call::Recreate("a", "5", 4), "no a=4@2/4"),
        (Call::Create("b", "x"), "yes 5"),
        (Call::Delete("a"), "yes 6"),
        (Call::Delete("a"), "yes 6"),
        (Call::Replace("a", "9", 4), "no "),
        (Call::Create("a", "6"), "yes 7"),
        (Call::Get("a"), "a=6@7/7"),
        (Call::PutTwo("c", "d"), "yes 8"),
        (Call::List("c"), "c=@8/8"),
        (Call::List(""), "a=6@7/7 b=x@5/5 c=@8/8 d=@8/8"),
        (Call::PutTwo("e", "e"), "refused at commit"),
        (Call::Get("e"), "none"),
    ],
};

const LEASES: Case = Case {
    calls: &[
        (Call::Grant(10), "granted"),
        (Call::CreateLeased("a"), "yes 2"),
        (Call::CreateLeased("b"), "yes 3"),
        (Call::Advance(9), "done"),
        (Call::Renew, "10000 ms"),
        (Call::Advance(9), "done"),
        (Call::Get("a"), "a=@2/2"),
        (Call::Advance(1), "done"),
        (Call::List(""), ""),
        (Call::Renew, "0 ms"),
        (Call::Revoke, "refused at revoke"),
        (Call::CreateLeased("a"), "refused at commit"),
        (Call::Grant(10), "granted"),
        (Call::CreateLeased("a"), "yes 5"),
        (Call::Revoke, "revoked"),
        (Call::Get("a"), "none"),
        (Call::Grant(10), "granted"),
        (Call::CreateLeased("a"), "yes 7"),
        (Call::Lapse, "done"),
        (Call::Get("a"), "none"),
    ],
};

const WATCHES: Case = Case {
    calls: &[
        (Call::Create("a/1", "x"), "yes 2"),
        (Call::Create("b/1", "x"), "yes 3"),
        (Call::Replace("a/1", "y", 2), "yes 4"),
        (Call::Delete("a/1"), "yes 5"),
        (Call::Watch("a/", 1, 3), "a/1=x@2/2 a/1=y@2/4 -a/1@5"),
        (Call::Watch("a/", 4, 2), "a/1=y@2/4 -a/1@5"),
        (Call::Watch("a/1", 5, 1), "-a/1@5"),
        (Call::Watch("", 3, 1), "b/1=x@3/3 a/1=y@2/4 -a/1@5"),
        (Call::Set(Fault::Down), "done"),
        (Call::Watch("a/", 1, 1), "indeterminate at watch"),
    ],
};

const LOST_ANSWERS: Case = Case {
    calls: &[
        (Call::Plan(Fault::LoseAnswer), "done"),
        (Call::Create("a", "1"), "indeterminate at commit"),
        (Call::Create("a", "2"), "no a=1@2/2"),
        (Call::Plan(Fault::Down), "done"),
        (Call::Create("b", "1"), "indeterminate at commit"),
        (Call::Get("b"), "none"),
        (Call::Plan(Fault::Late), "done"),
        (Call::Create("b", "2"), "indeterminate at commit"),
        (Call::Get("b"), "none"),
        (Call::Set(Fault::None), "done"),
        (Call::Get("b"), "b=2@3/3"),
        (Call::Set(Fault::LoseAnswer), "done"),
        (Call::Grant(1), "indeterminate at grant"),
        (Call::Get("a"), "indeterminate at get"),
    ],
};

const STALE_READS: Case = Case {
    calls: &[
        (Call::Create("a", "1"), "yes 2"),
        (Call::Set(Fault::Stale), "done"),
        (Call::Replace("a", "2", 2), "yes 3"),
        (Call::Get("a"), "a=1@2/2"),
        (Call::List(""), "a=1@2/2"),
        (Call::Create("a", "3"), "no a=2@2/3"),
        (Call::Set(Fault::None), "done"),
        (Call::Get("a"), "a=2@2/3"),
    ],
};

#[rstest]
fn calls_answer_alike_in_process_and_over_grpc(
    #[values(Transport::InProcess, Transport::Grpc)] transport: Transport,
    #[values(REVISIONS, LEASES, WATCHES, LOST_ANSWERS, STALE_READS)] case: Case,
) {
    let runtime = Runtime::new().unwrap();
    let mut fixture = Fixture::new(transport, &runtime);
    for (call, expected) in case.calls {
        let answer = runtime.block_on(fixture.call(*call));
        assert_eq!(&answer, expected, "{call:?}");
    }
}
