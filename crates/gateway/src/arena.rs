//! The places that requests can be sent to, with what is in progress there.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::balance::Load;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::peers::{PeerLoads, PlaceId, Share};
use jackdaw_policy::route::prefix_hash;

/// Time without progress after which a group gets new requests only if no other can take them.
/// Passes that read several prompts take up to about 250 ms.
const SUSPICION: Millis = Millis(300);
/// Time for which a group that was found to stand still gets no new requests if others can take
/// them; the engine breaks such work off after some seconds.
const DISTRUST: Millis = Millis(5_000);
/// Names a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key(u32);

#[derive(Debug)]
struct Slot {
    target: Rc<Target>,
    place: PlaceId,
    serving: bool,
    own: u32,
    streaming: u32,
    unread: u64,
    cached: u64,
    progress: Instant,
    distrusted_until: Option<Instant>,
}

impl Slot {
    /// Returns whether this node has found the place to stand still.
    fn is_suspect(&self, now: Instant) -> bool {
        let is_distrusted = self.distrusted_until.is_some_and(|until| now < until);
        let is_still = self.streaming > 0 && now.since(self.progress) > SUSPICION;
        is_distrusted || is_still
    }
}

/// All places; those that serve nothing and have nothing in progress are used again.
#[derive(Debug, Default)]
pub(crate) struct Arena {
    slots: Vec<Slot>,
    serving: HashMap<CompactString, Vec<Key>>,
    /// What the other nodes have in progress.
    pub(crate) board: Rc<RefCell<PeerLoads>>,
}

/// Returns the name of a place that all nodes derive alike.
fn place(target: &Target) -> PlaceId {
    let name = format!("{}/{}/{}", target.server, target.born, target.group);
    prefix_hash(name.as_bytes())
}

fn is_same(left: &Target, right: &Target) -> bool {
    left.server == right.server && left.born == right.born && left.group == right.group
}

impl Arena {
    /// Replaces the places that serve.
    pub(crate) fn update(&mut self, targets: Vec<Target>, now: Instant) {
        self.serving.clear();
        let mut kept: HashSet<usize> = HashSet::new();
        for target in targets {
            let service = target.service.clone();
            let known = self
                .slots
                .iter()
                .position(|slot| is_same(&slot.target, &target));
            let number = match known {
                Some(number) => {
                    let slot = &mut self.slots[number];
                    slot.target = Rc::new(target);
                    number
                }
                None => self.add(target, &kept, now),
            };
            kept.insert(number);
            let key = Key(u32::try_from(number).unwrap_or(u32::MAX));
            self.serving.entry(service).or_default().push(key);
        }
        for (number, slot) in self.slots.iter_mut().enumerate() {
            slot.serving = kept.contains(&number);
        }
    }

    fn add(&mut self, target: Target, kept: &HashSet<usize>, now: Instant) -> usize {
        let slot = Slot {
            place: place(&target),
            target: Rc::new(target),
            serving: true,
            own: 0,
            streaming: 0,
            unread: 0,
            cached: 0,
            progress: now,
            distrusted_until: None,
        };
        let unused =
            self.slots.iter().enumerate().position(|(number, slot)| {
                !slot.serving && slot.own == 0 && !kept.contains(&number)
            });
        match unused {
            Some(number) => {
                self.slots[number] = slot;
                number
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        }
    }

    /// Counts the places that serve by model, or by service where there are no models.
    pub(crate) fn counts(&self) -> BTreeMap<CompactString, usize> {
        let mut counts = BTreeMap::new();
        for slot in self.slots.iter().filter(|slot| slot.serving) {
            let name = slot.target.model.as_ref().unwrap_or(&slot.target.service);
            *counts.entry(name.clone()).or_default() += 1;
        }
        counts
    }

    fn slot(&self, key: Key) -> &Slot {
        &self.slots[key.0 as usize]
    }

    fn slot_mut(&mut self, key: Key) -> &mut Slot {
        &mut self.slots[key.0 as usize]
    }

    /// Gets the places that serve a service.
    pub(crate) fn serving(&self, service: &str) -> &[Key] {
        self.serving.get(service).map_or(&[], Vec::as_slice)
    }

    /// Gets a target.
    pub(crate) fn target(&self, key: Key) -> Rc<Target> {
        Rc::clone(&self.slot(key).target)
    }

    /// Returns whether a place still serves.
    pub(crate) fn is_serving(&self, key: Key) -> bool {
        self.slot(key).serving
    }

    /// Returns what is in progress at a place.
    pub(crate) fn load(&self, key: Key, zone: &str, now: Instant) -> Load {
        let slot = self.slot(key);
        let others = self.board.borrow().peer_load(slot.place, now);
        // What this node sees itself goes before a warning of others.
        let is_alive = slot.streaming > 0 && now.since(slot.progress) <= SUSPICION;
        let is_suspect = slot.is_suspect(now) || (others.suspect && !is_alive);
        Load {
            own: slot.own,
            others: others.requests,
            pending_prefill: slot.unread,
            others_pending_prefill: u64::from(others.unread),
            cached: slot.cached,
            // Slowness is not measured; groups go by the engine's stated figures.
            slowness: 1.0,
            suspect: is_suspect || slot.target.suspect,
            remote: slot.target.zone != zone,
        }
    }

    /// Returns what this node has in progress at each place.
    pub(crate) fn shares(&self, now: Instant) -> Vec<(PlaceId, Share)> {
        self.slots
            .iter()
            .map(|slot| {
                let share = Share {
                    requests: slot.own,
                    unread: u32::try_from(slot.unread).unwrap_or(u32::MAX),
                    suspect: slot.serving && slot.is_suspect(now),
                };
                (slot.place, share)
            })
            .filter(|(_, share)| share.requests > 0 || share.suspect)
            .collect()
    }

    /// Returns the time of the last progress at a place, if streams are in progress there from
    /// which it can be told.
    pub(crate) fn progress(&self, key: Key) -> Option<Instant> {
        let slot = self.slot(key);
        (slot.streaming > 0).then_some(slot.progress)
    }

    /// Notes that a place has brought something.
    pub(crate) fn advance(&mut self, key: Key, now: Instant) {
        let slot = self.slot_mut(key);
        slot.progress = now;
        slot.distrusted_until = None;
    }

    /// Sends new requests elsewhere for a while, since the place stands still.
    pub(crate) fn distrust(&mut self, key: Key, now: Instant) {
        self.avoid(key, now + DISTRUST);
    }

    /// Sends new requests elsewhere until a time.
    pub(crate) fn avoid(&mut self, key: Key, until: Instant) {
        let slot = self.slot_mut(key);
        slot.distrusted_until = slot.distrusted_until.max(Some(until));
    }
}

/// Counts one request at a place until it is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    arena: Rc<RefCell<Arena>>,
    pub(crate) key: Key,
    unread: u64,
    cached: u64,
    streaming: bool,
}

impl Pass {
    /// Counts a request with its prompt and output tokens.
    pub(crate) fn enter(arena: &Rc<RefCell<Arena>>, key: Key, prompt: u64, output: u64) -> Pass {
        {
            let mut arena = arena.borrow_mut();
            let slot = arena.slot_mut(key);
            slot.own += 1;
            slot.unread += prompt;
            slot.cached += prompt + output;
        }
        Pass {
            arena: Rc::clone(arena),
            key,
            unread: prompt,
            cached: prompt + output,
            streaming: false,
        }
    }

    /// Notes that an event has come.
    pub(crate) fn advance(&mut self, now: Instant) {
        let mut arena = self.arena.borrow_mut();
        arena.advance(self.key, now);
        if !self.streaming {
            self.streaming = true;
            let slot = arena.slot_mut(self.key);
            slot.streaming += 1;
            slot.unread -= std::mem::take(&mut self.unread);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut arena = self.arena.borrow_mut();
        let slot = arena.slot_mut(self.key);
        slot.own -= 1;
        slot.streaming -= u32::from(self.streaming);
        slot.unread -= self.unread;
        slot.cached -= self.cached;
    }
}
