//! A model engine of the model.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::order::{Command, Order};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Generation};

use crate::world::VMS;

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) alive: bool,
    pub(crate) fence: Fence,
    pub(crate) membership: Option<Membership>,
    /// When each group and generation was last held before the present one.
    pub(crate) held: BTreeMap<(CompactString, Generation), Instant>,
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

    pub(crate) fn die(&mut self, now: Instant) {
        self.alive = false;
        if let Some(membership) = self.membership.take() {
            let key = (membership.group, membership.generation);
            self.held.insert(key, now);
        }
    }

    pub(crate) fn last_held(
        &self,
        group: &str,
        generation: Generation,
        now: Instant,
    ) -> Option<Instant> {
        let holds = self.membership.as_ref().is_some_and(|membership| {
            membership.group == group && membership.generation == generation
        });
        if holds {
            return Some(now);
        }
        self.held.get(&(group.into(), generation)).copied()
    }

    /// Obeys an order, or refuses it if the engine checks the number and knows a higher one.
    pub(crate) fn obey(
        &mut self,
        order: &Order,
        check: bool,
        now: Instant,
    ) -> Result<Result<(), Error>, String> {
        if !self.alive {
            return Ok(Err(Error::indeterminate("order", "engine", "dead")));
        }
        if check && order.fence < self.fence {
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
                    "a VM of {} was told to join another",
                    membership.group
                ));
            }
            let key = (membership.group, membership.generation);
            self.held.insert(key, now);
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
