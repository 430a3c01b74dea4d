//! Simulated model engine.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::order::{Command, Order};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Generation};

use crate::model::VMS;

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) is_alive: bool,
    pub(crate) fence: Fence,
    pub(crate) membership: Option<Membership>,
    /// Time until which each earlier group and generation was held.
    pub(crate) held_until: BTreeMap<(CompactString, Generation), Instant>,
}

impl Engine {
    pub(crate) fn report(&self, vm: usize) -> Report {
        Report {
            vm: VMS[vm].into(),
            boot: 1,
            membership: self.membership.clone(),
            ready: true,
            fence: self.fence,
            load: Load::default(),
            leaving: false,
        }
    }

    pub(crate) fn crash(&mut self, now: Instant) {
        self.is_alive = false;
        if let Some(membership) = self.membership.take() {
            let key = (membership.group, membership.generation);
            self.held_until.insert(key, now);
        }
    }

    pub(crate) fn last_held(
        &self,
        group: &str,
        generation: Generation,
        now: Instant,
    ) -> Option<Instant> {
        let is_held = self.membership.as_ref().is_some_and(|membership| {
            membership.group == group && membership.generation == generation
        });
        if is_held {
            return Some(now);
        }
        self.held_until.get(&(group.into(), generation)).copied()
    }

    /// Executes an order, or refuses it if the engine checks the fencing number and knows a higher
    /// one. The outer error describes a violated invariant.
    pub(crate) fn execute(
        &mut self,
        order: &Order,
        checks_fence: bool,
        now: Instant,
    ) -> Result<Result<(), Error>, String> {
        if !self.is_alive {
            return Ok(Err(Error::indeterminate("order", "engine", "crashed")));
        }
        if checks_fence && order.fence < self.fence {
            return Ok(Err(Error::refused("order", "engine", "old fencing number")));
        }
        self.fence = self.fence.max(order.fence);
        if let Some(membership) = self.membership.take() {
            let joins_other = matches!(
                &order.command,
                Command::Join { group, .. } if *group != membership.group
            );
            if joins_other {
                return Err(format!(
                    "a member of {} was ordered to join another group",
                    membership.group
                ));
            }
            let key = (membership.group, membership.generation);
            self.held_until.insert(key, now);
        }
        if let Command::Join {
            group,
            generation,
            model,
            version,
            rank,
            ..
        } = &order.command
        {
            self.membership = Some(Membership {
                group: group.clone(),
                generation: *generation,
                model: model.clone(),
                version: version.clone(),
                rank: *rank,
            });
        }
        Ok(Ok(()))
    }
}
