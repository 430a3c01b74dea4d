//! Converts between the gossip messages and their wire format.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::units::{Fence, Generation, Millis, Rate, Revision};
use jackdaw_entry::limits::{Question, Record, Reply};
use jackdaw_policy::gossip::fact::{Fact, Key, Member, Value, Version};
use jackdaw_policy::gossip::message::{Body, Bucket, Entry, Envelope, Exchange, Lag, Summary};
use jackdaw_policy::poison::{CrashId, Feature};
use jackdaw_policy::throttle::{self, ServerId, TeamId};
use jackdaw_wire::peer as wire;

const OPERATION: &str = "decode peer message";

/// Encodes a gossip message for the wire.
#[must_use]
pub fn encode(envelope: &Envelope) -> wire::Envelope {
    wire::Envelope {
        from: envelope.from.to_string(),
        address: Some(encode_address(envelope.address)),
        zone: envelope.zone.to_string(),
        incarnation: envelope.incarnation,
        beat: envelope.heartbeat,
        revision: envelope.revision.0,
        body: Some(encode_body(&envelope.body)),
    }
}

/// Decodes a gossip message from the wire.
///
/// # Errors
///
/// Returns `Malformed` if a part of the message is missing or invalid.
pub fn decode(envelope: wire::Envelope) -> Result<Envelope> {
    let body = envelope
        .body
        .ok_or_else(|| Error::malformed(OPERATION, &envelope.from, "no body"))?;
    Ok(Envelope {
        address: decode_address(envelope.address, &envelope.from)?,
        body: decode_body(body, &envelope.from)?,
        from: envelope.from.into(),
        zone: envelope.zone.into(),
        incarnation: envelope.incarnation,
        heartbeat: envelope.beat,
        revision: Revision(envelope.revision),
    })
}

/// Encodes a question for one request to a server.
#[must_use]
pub fn encode_question(question: &Question) -> wire::Question {
    wire::Question {
        server: question.server.0,
        limit: Some(encode_record(&question.record)),
        priority: question.priority.into(),
        team: question.team.0,
    }
}

/// Decodes a question for one request to a server.
///
/// # Errors
///
/// Returns `Malformed` if the limit is missing or no valid rate.
pub fn decode_question(question: &wire::Question) -> Result<Question> {
    let record = question.limit.as_ref().and_then(decode_record);
    let record = record.ok_or_else(|| Error::malformed(OPERATION, "peer", "no valid limit"))?;
    Ok(Question {
        server: ServerId(question.server),
        record,
        priority: u8::try_from(question.priority).unwrap_or(u8::MAX),
        team: TeamId(question.team),
    })
}

/// Encodes the answer to a question.
#[must_use]
pub fn encode_verdict(reply: &Reply) -> wire::Verdict {
    let (granted, retry_after) = match reply.verdict {
        throttle::Verdict::Granted => (true, Millis(0)),
        throttle::Verdict::Denied(retry_after) => (false, retry_after),
    };
    wire::Verdict {
        granted,
        retry_after_ms: retry_after.0,
        limit: Some(encode_record(&reply.record)),
    }
}

/// Decodes the answer to a question; none if it holds no valid limit.
#[must_use]
pub fn decode_verdict(verdict: &wire::Verdict) -> Option<Reply> {
    Some(Reply {
        record: decode_record(verdict.limit.as_ref()?)?,
        verdict: match verdict.granted {
            true => throttle::Verdict::Granted,
            false => throttle::Verdict::Denied(Millis(verdict.retry_after_ms)),
        },
    })
}

fn encode_record(record: &Record) -> wire::Limit {
    wire::Limit {
        rate: record.rate.map(Rate::per_second),
        sent_age_ms: record.sent_age.0,
        answer_age_ms: record.answer_age.0,
    }
}

fn decode_record(limit: &wire::Limit) -> Option<Record> {
    let rate = match limit.rate {
        Some(rate) => Some(Rate::new(rate)?),
        None => None,
    };
    Some(Record {
        rate,
        sent_age: Millis(limit.sent_age_ms),
        answer_age: Millis(limit.answer_age_ms),
    })
}

fn encode_body(body: &Body) -> wire::envelope::Body {
    match body {
        Body::Probe(exchange) => wire::envelope::Body::Probe(encode_exchange(exchange)),
        Body::Answer(exchange) => wire::envelope::Body::Answer(encode_exchange(exchange)),
        Body::Push(facts) => wire::envelope::Body::Push(wire::Push {
            facts: facts.iter().map(encode_fact).collect(),
        }),
        Body::Detail(parts) => wire::envelope::Body::Detail(wire::Detail {
            parts: parts.iter().map(encode_bucket).collect(),
        }),
        Body::Repair { facts, wants } => wire::envelope::Body::Repair(wire::Repair {
            facts: facts.iter().map(encode_fact).collect(),
            wants: wants.clone(),
        }),
    }
}

fn decode_body(body: wire::envelope::Body, peer: &str) -> Result<Body> {
    Ok(match body {
        wire::envelope::Body::Probe(exchange) => Body::Probe(decode_exchange(exchange)),
        wire::envelope::Body::Answer(exchange) => Body::Answer(decode_exchange(exchange)),
        wire::envelope::Body::Push(push) => Body::Push(decode_facts(push.facts, peer)?),
        wire::envelope::Body::Detail(detail) => {
            Body::Detail(detail.parts.into_iter().map(decode_bucket).collect())
        }
        wire::envelope::Body::Repair(repair) => Body::Repair {
            facts: decode_facts(repair.facts, peer)?,
            wants: repair.wants,
        },
    })
}

fn encode_address(address: SocketAddr) -> wire::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    wire::Address {
        ip,
        port: u32::from(address.port()),
    }
}

fn decode_address(address: Option<wire::Address>, peer: &str) -> Result<SocketAddr> {
    let malformed = || Error::malformed(OPERATION, peer, "no valid address");
    let address = address.ok_or_else(malformed)?;
    let port = u16::try_from(address.port).map_err(|_| malformed())?;
    let ip = match <[u8; 4]>::try_from(address.ip.as_slice()) {
        Ok(octets) => IpAddr::V4(Ipv4Addr::from(octets)),
        Err(_) => {
            let octets = <[u8; 16]>::try_from(address.ip.as_slice()).map_err(|_| malformed())?;
            IpAddr::V6(Ipv6Addr::from(octets))
        }
    };
    Ok(SocketAddr::new(ip, port))
}

fn encode_exchange(exchange: &Exchange) -> wire::Exchange {
    wire::Exchange {
        root: exchange.root,
        members: exchange.members_digest,
        beats: exchange.heartbeats.clone(),
        ids: exchange.ids.clone(),
        lags: exchange
            .lags
            .iter()
            .map(|lag| wire::Lag {
                position: lag.position,
                revision: lag.revision.0,
            })
            .collect(),
        zones: exchange.zones.iter().map(encode_summary).collect(),
        buckets: exchange.buckets.clone(),
    }
}

fn decode_exchange(exchange: wire::Exchange) -> Exchange {
    Exchange {
        root: exchange.root,
        members_digest: exchange.members,
        heartbeats: exchange.beats,
        ids: exchange.ids,
        lags: exchange
            .lags
            .into_iter()
            .map(|lag| Lag {
                position: lag.position,
                revision: Revision(lag.revision),
            })
            .collect(),
        zones: exchange.zones.into_iter().map(decode_summary).collect(),
        buckets: exchange.buckets,
    }
}

fn encode_summary(summary: &Summary) -> wire::Summary {
    wire::Summary {
        zone: summary.zone.to_string(),
        at_unix_ms: summary.at_unix_ms,
        live: summary.live,
        lowest: summary.lowest.0,
        highest: summary.highest.0,
    }
}

fn decode_summary(summary: wire::Summary) -> Summary {
    Summary {
        zone: summary.zone.into(),
        at_unix_ms: summary.at_unix_ms,
        live: summary.live,
        lowest: Revision(summary.lowest),
        highest: Revision(summary.highest),
    }
}

fn encode_bucket(bucket: &Bucket) -> wire::Part {
    let entries = bucket.entries.iter().map(|entry| wire::Entry {
        key: entry.key,
        major: entry.version.major,
        minor: entry.version.minor,
    });
    wire::Part {
        bucket: bucket.index,
        entries: entries.collect(),
    }
}

fn decode_bucket(part: wire::Part) -> Bucket {
    let entries = part.entries.into_iter().map(|entry| Entry {
        key: entry.key,
        version: Version {
            major: entry.major,
            minor: entry.minor,
        },
    });
    Bucket {
        index: part.bucket,
        entries: entries.collect(),
    }
}

fn encode_fact(fact: &Fact) -> wire::Fact {
    wire::Fact {
        major: fact.version.major,
        minor: fact.version.minor,
        value: encode_value(&fact.key, &fact.value),
    }
}

/// Encodes a key and its value, or returns `None` if their kinds differ.
fn encode_value(key: &Key, value: &Value) -> Option<wire::fact::Value> {
    Some(match (key, value) {
        (Key::Member(name), Value::Member(member)) => wire::fact::Value::Member(wire::Member {
            name: name.to_string(),
            address: Some(encode_address(member.address)),
            zone: member.zone.to_string(),
            removed_unix_ms: member.removed_unix_ms,
        }),
        (Key::Catalog, Value::Catalog(note)) => wire::fact::Value::CatalogNote(note.to_string()),
        (Key::Placement(zone), Value::Placement(fence)) => {
            wire::fact::Value::Placement(wire::Placement {
                zone: zone.to_string(),
                fence: fence.0,
            })
        }
        (Key::Report(_), Value::Report(report)) => wire::fact::Value::Report(encode_report(report)),
        (Key::Leaving(vm), Value::Leaving) => wire::fact::Value::LeavingVm(vm.to_string()),
        (Key::Poison(feature), Value::Poison) => wire::fact::Value::Convicted(feature.to_bytes()),
        (Key::Crash(feature, crash), Value::Crash { at_unix_ms }) => {
            wire::fact::Value::Crash(wire::Crash {
                digest: feature.to_bytes(),
                crash: crash.0,
                at_unix_ms: *at_unix_ms,
            })
        }
        _ => return None,
    })
}

fn decode_facts(facts: Vec<wire::Fact>, peer: &str) -> Result<Vec<Fact>> {
    facts
        .into_iter()
        .map(|fact| decode_fact(fact, peer))
        .collect()
}

fn decode_fact(fact: wire::Fact, peer: &str) -> Result<Fact> {
    let value = fact
        .value
        .ok_or_else(|| Error::malformed(OPERATION, peer, "fact without a value"))?;
    let (key, value) = decode_value(value, peer)?;
    let version = Version {
        major: fact.major,
        minor: fact.minor,
    };
    Ok(Fact {
        key,
        version,
        value,
    })
}

fn decode_value(value: wire::fact::Value, peer: &str) -> Result<(Key, Value)> {
    Ok(match value {
        wire::fact::Value::Member(member) => {
            let value = Member {
                address: decode_address(member.address, peer)?,
                zone: member.zone.into(),
                removed_unix_ms: member.removed_unix_ms,
            };
            (Key::Member(member.name.into()), Value::Member(value))
        }
        wire::fact::Value::CatalogNote(note) => (Key::Catalog, Value::Catalog(note.into())),
        wire::fact::Value::Placement(placement) => (
            Key::Placement(placement.zone.into()),
            Value::Placement(Fence(placement.fence)),
        ),
        wire::fact::Value::Report(report) => {
            let report = decode_report(report);
            (Key::Report(report.vm.clone()), Value::Report(report))
        }
        wire::fact::Value::LeavingVm(vm) => (Key::Leaving(vm.into()), Value::Leaving),
        wire::fact::Value::Convicted(feature) => {
            (Key::Poison(decode_feature(&feature, peer)?), Value::Poison)
        }
        wire::fact::Value::Crash(crash) => {
            let key = Key::Crash(decode_feature(&crash.digest, peer)?, CrashId(crash.crash));
            let at_unix_ms = crash.at_unix_ms;
            (key, Value::Crash { at_unix_ms })
        }
    })
}

fn decode_feature(bytes: &[u8], peer: &str) -> Result<Feature> {
    Feature::from_bytes(bytes)
        .ok_or_else(|| Error::malformed(OPERATION, peer, "feature of another length"))
}

fn encode_report(report: &Report) -> wire::Report {
    let membership = report
        .membership
        .as_ref()
        .map(|membership| wire::Membership {
            group: membership.group.to_string(),
            generation: membership.generation.0,
            model: membership.model.to_string(),
            version: membership.version.to_string(),
            rank: membership.rank,
        });
    wire::Report {
        vm: report.vm.to_string(),
        boot: report.boot,
        membership,
        ready: report.ready,
        fence: report.fence.0,
        running: report.load.running,
        waiting: report.load.waiting,
        leaving: report.leaving,
    }
}

fn decode_report(report: wire::Report) -> Report {
    let membership = report.membership.map(|membership| Membership {
        group: membership.group.into(),
        generation: Generation(membership.generation),
        model: membership.model.into(),
        version: membership.version.into(),
        rank: membership.rank,
    });
    Report {
        vm: CompactString::from(report.vm),
        boot: report.boot,
        membership,
        ready: report.ready,
        leaving: report.leaving,
        fence: Fence(report.fence),
        load: Load {
            running: report.running,
            waiting: report.waiting,
        },
    }
}
