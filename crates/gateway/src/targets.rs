//! The targets that requests can be sent to and their load from this node.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::balance::Load;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::peers::{PeerLoads, PlaceId, Share};
use jackdaw_policy::route::prefix_hash;
use jackdaw_policy::stall::{self, Progress, Report, STALL_TIME};
use slotmap::{SlotMap, new_key_type};

/// Time for which a target that stalled or is at fault gets no new requests if others can take
/// them; the engine aborts stalled work after a few seconds.
const AVOIDANCE_TIME: Millis = Millis(5_000);

new_key_type! {
    /// Identifies a target within this node; the key of a target that is gone finds nothing.
    pub(crate) struct Key;
}

/// A target that served when it was looked up.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: Key,
    pub(crate) target: Rc<Target>,
}

#[derive(Debug)]
struct Slot {
    target: Rc<Target>,
    place_id: PlaceId,
    is_serving: bool,
    requests: u32,
    streams: u32,
    pending_prefill: u64,
    cached_tokens: u64,
    last_progress: Instant,
    avoided_until: Option<Instant>,
    /// Numbers of crashes of the suspects in flight that have not begun to be answered.
    suspect_crashes: Vec<u32>,
}

impl Slot {
    fn new(target: Rc<Target>, now: Instant) -> Self {
        Slot {
            place_id: place_id(&target),
            target,
            is_serving: true,
            requests: 0,
            streams: 0,
            pending_prefill: 0,
            cached_tokens: 0,
            last_progress: now,
            avoided_until: None,
            suspect_crashes: Vec::new(),
        }
    }

    /// Returns whether the target serves, has requests in progress, or is to be avoided if it serves
    /// again.
    fn is_used(&self, now: Instant) -> bool {
        self.is_serving || self.requests > 0 || self.is_suspect(now)
    }

    /// Returns whether this node has found the target stalled or avoids it.
    fn is_suspect(&self, now: Instant) -> bool {
        let is_avoided = self.avoided_until.is_some_and(|until| now < until);
        let is_stalled = self.streams > 0 && now.since(self.last_progress) > STALL_TIME;
        is_avoided || is_stalled
    }
}

/// All targets: those that serve, and others while they have requests in progress or are avoided.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    slots: SlotMap<Key, Slot>,
    serving: HashMap<CompactString, Vec<Candidate>>,
    /// Load that the other nodes report.
    pub(crate) peer_loads: Rc<RefCell<PeerLoads>>,
    /// Places that stand still, as far as all nodes have seen.
    stalls: stall::Table,
}

/// Returns the identity of a target, which is the same on all nodes.
fn place_id(target: &Target) -> PlaceId {
    let name = format!("{}/{}/{}", target.server, target.born, target.group);
    prefix_hash(name.as_bytes())
}

fn is_same_target(left: &Target, right: &Target) -> bool {
    left.server == right.server && left.born == right.born && left.group == right.group
}

impl Targets {
    /// Replaces the targets that serve.
    pub(crate) fn update(&mut self, targets: Vec<Target>, now: Instant) {
        self.serving.clear();
        for slot in self.slots.values_mut() {
            slot.is_serving = false;
        }
        for target in targets.into_iter().map(Rc::new) {
            let mut slots = self.slots.iter();
            let existing = slots.find(|(_, slot)| is_same_target(&slot.target, &target));
            let key = match existing.map(|(key, _)| key) {
                Some(key) => {
                    let slot = &mut self.slots[key];
                    slot.target = Rc::clone(&target);
                    slot.is_serving = true;
                    key
                }
                None => self.slots.insert(Slot::new(Rc::clone(&target), now)),
            };
            let serving = self.serving.entry(target.service.clone()).or_default();
            serving.push(Candidate { key, target });
        }
        self.slots.retain(|_, slot| slot.is_used(now));
    }

    /// Counts the serving targets by model, or by service for services without models.
    pub(crate) fn count_serving(&self) -> BTreeMap<CompactString, usize> {
        let mut counts = BTreeMap::new();
        for slot in self.slots.values().filter(|slot| slot.is_serving) {
            let name = slot.target.model.as_ref().unwrap_or(&slot.target.service);
            *counts.entry(name.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the targets that serve a service.
    pub(crate) fn serving(&self, service: &str) -> &[Candidate] {
        self.serving.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a target still serves.
    pub(crate) fn is_serving(&self, key: Key) -> bool {
        self.slots.get(key).is_some_and(|slot| slot.is_serving)
    }

    /// Returns the largest number of crashes among the suspects that this node has in flight at a
    /// target and that have not begun to be answered.
    pub(crate) fn suspect_crashes(&self, key: Key) -> u32 {
        let slot = self.slots.get(key);
        let most = slot.and_then(|slot| slot.suspect_crashes.iter().max());
        most.copied().unwrap_or_default()
    }

    /// Returns a target's load from this node and the others, or none if it is gone.
    pub(crate) fn load(&self, key: Key, zone: &str, now: Instant) -> Option<Load> {
        let slot = self.slots.get(key)?;
        let peer_load = self.peer_loads.borrow().peer_load(slot.place_id, now);
        // Progress that this node observes outweighs the suspicion of other nodes.
        let is_progressing = slot.streams > 0 && now.since(slot.last_progress) <= STALL_TIME;
        let is_stalled = self.stalls.stalled_since(slot.place_id, now).is_some();
        let is_told = peer_load.suspect || is_stalled;
        let is_suspect = slot.is_suspect(now) || (is_told && !is_progressing);
        Some(Load {
            own: slot.requests,
            others: peer_load.requests,
            pending_prefill: slot.pending_prefill,
            others_pending_prefill: u64::from(peer_load.unread),
            cached: slot.cached_tokens,
            // Slowness is not measured; estimates use the engine's configured speed.
            slowness: 1.0,
            suspect: is_suspect || slot.target.suspect,
            remote: slot.target.zone != zone,
        })
    }

    /// Returns this node's load on each target that it uses or suspects.
    pub(crate) fn shares(&self, now: Instant) -> Vec<(PlaceId, Share)> {
        self.slots
            .values()
            .map(|slot| {
                let share = Share {
                    requests: slot.requests,
                    unread: u32::try_from(slot.pending_prefill).unwrap_or(u32::MAX),
                    suspect: slot.is_serving && slot.is_suspect(now),
                };
                (slot.place_id, share)
            })
            .filter(|(_, share)| share.requests > 0 || share.suspect)
            .collect()
    }

    /// Returns the time of a target's last progress, or none if no stream is in progress there that
    /// would show it and no other node says that it stands still.
    pub(crate) fn last_progress(&self, key: Key, now: Instant) -> Option<Instant> {
        let slot = self.slots.get(key)?;
        if slot.streams > 0 {
            return Some(slot.last_progress);
        }
        self.stalls.stalled_since(slot.place_id, now)
    }

    /// Compares this node's streams with what is known of places that stand still, and returns what the
    /// other nodes are to be told.
    pub(crate) fn observe_stalls(&mut self, now: Instant) -> Vec<Report> {
        let slots = self.slots.values();
        let streams: Vec<Progress> = slots
            .filter(|slot| slot.is_serving && slot.streams > 0)
            .map(|slot| Progress {
                place: slot.place_id,
                at: slot.last_progress,
            })
            .collect();
        self.stalls.observe(&streams, now)
    }

    /// Takes another node's report of a place and returns whether it is news.
    pub(crate) fn take_stall(&mut self, report: Report, now: Instant) -> bool {
        self.stalls.take(report, now)
    }

    /// Returns the names of the replica groups that stand still.
    pub(crate) fn stalled_groups(&self, now: Instant) -> BTreeSet<CompactString> {
        if self.stalls.is_empty() {
            return BTreeSet::new();
        }
        let slots = self.slots.values().filter(|slot| slot.is_serving);
        slots
            .filter(|slot| self.stalls.stalled_since(slot.place_id, now).is_some())
            .map(|slot| slot.target.group.clone())
            .filter(|group| !group.is_empty())
            .collect()
    }

    /// Records progress at a target and ends its avoidance.
    pub(crate) fn advance(&mut self, key: Key, now: Instant) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.last_progress = now;
            slot.avoided_until = None;
        }
    }

    /// Avoids a target that stalled or is at fault for [`AVOIDANCE_TIME`].
    pub(crate) fn avoid(&mut self, key: Key, now: Instant) {
        self.avoid_until(key, now + AVOIDANCE_TIME);
    }

    /// Avoids a target for new requests until a time, unless no other can take them.
    pub(crate) fn avoid_until(&mut self, key: Key, until: Instant) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.avoided_until = slot.avoided_until.max(Some(until));
        }
    }
}

/// Counts one request in the load of a target until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    targets: Rc<RefCell<Targets>>,
    pub(crate) key: Key,
    pending_prefill: u64,
    cached_tokens: u64,
    is_streaming: bool,
    /// Number of crashes of a suspect that has not begun to be answered.
    suspect_crashes: Option<u32>,
}

impl Reservation {
    /// Adds a request with its prompt and output tokens to a target's load; a suspect states its
    /// number of crashes. Returns none if the target does not serve any more.
    pub(crate) fn acquire(
        targets: &Rc<RefCell<Targets>>,
        key: Key,
        prompt: u64,
        output: u64,
        suspect_crashes: Option<u32>,
    ) -> Option<Reservation> {
        {
            let mut targets = targets.borrow_mut();
            let slot = targets.slots.get_mut(key);
            let slot = slot.filter(|slot| slot.is_serving)?;
            slot.suspect_crashes.extend(suspect_crashes);
            slot.requests += 1;
            slot.pending_prefill += prompt;
            slot.cached_tokens += prompt + output;
        }
        Some(Reservation {
            targets: Rc::clone(targets),
            key,
            pending_prefill: prompt,
            cached_tokens: prompt + output,
            is_streaming: false,
            suspect_crashes,
        })
    }

    /// Records progress at the target; the first event ends the request's prefill.
    pub(crate) fn advance(&mut self, now: Instant) {
        let mut targets = self.targets.borrow_mut();
        targets.advance(self.key, now);
        if !self.is_streaming
            && let Some(slot) = targets.slots.get_mut(self.key)
        {
            self.is_streaming = true;
            slot.streams += 1;
            slot.pending_prefill -= std::mem::take(&mut self.pending_prefill);
            release_suspect(slot, self.suspect_crashes.take());
        }
    }
}

/// Removes a suspect from a target's suspects in flight.
fn release_suspect(slot: &mut Slot, crashes: Option<u32>) {
    let position = crashes.and_then(|crashes| {
        let mut suspects = slot.suspect_crashes.iter();
        suspects.position(|suspect| *suspect == crashes)
    });
    if let Some(position) = position {
        slot.suspect_crashes.swap_remove(position);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut targets = self.targets.borrow_mut();
        // A slot is kept as long as it has requests.
        let Some(slot) = targets.slots.get_mut(self.key) else {
            return;
        };
        slot.requests -= 1;
        slot.streams -= u32::from(self.is_streaming);
        slot.pending_prefill -= self.pending_prefill;
        slot.cached_tokens -= self.cached_tokens;
        release_suspect(slot, self.suspect_crashes);
    }
}
