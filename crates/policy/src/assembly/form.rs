//! Forms groups out of free servers, dissolves groups whose servers another model needs more, and
//! loads the weights of a second model into the servers' memory.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Server, State};
use jackdaw_core::config::Model;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::layout::{self, Capacity};
use super::{EPOCH_STEP, Formation, Planner, Task, View};
use crate::fleet::{Group, group_name, model_of};

/// Largest ratio of the pressure after an exchange to the pressure before it. An exchange has to pay,
/// since the retired groups serve nothing for some seconds.
const MAX_PRESSURE_RATIO: f64 = 0.93;
/// Time for which an imbalance has to last before several groups are retired for one, so that a zone
/// with free servers for the model acts first.
const LARGE_EXCHANGE_DELAY: Millis = Millis(4_000);
/// Time between two retirements, in which the registrations show the effect of the first one.
const RETIRE_PAUSE: Millis = Millis(4_000);

/// Servers that may join a group, by domain.
type FreeServers<'a> = BTreeMap<CompactString, Vec<&'a Server>>;

/// A group that could be formed.
struct Candidate {
    domain: CompactString,
    model: usize,
    loads: usize,
    pressure: f64,
    leftover: usize,
}

/// Groups of one domain that could be retired so that another model gets their servers.
struct Exchange {
    domain: CompactString,
    retired: Vec<CompactString>,
    pressure: f64,
    /// Whether a single group is enough, because free servers provide the rest.
    is_small: bool,
}

impl Planner {
    /// Returns the servers that may join a group now.
    ///
    /// A server without a group has left its former one itself, so it need not wait for that group's end: an
    /// order is given only by the server's own answer that shows no group.
    fn free_servers<'a>(&self, view: &View<'a>) -> FreeServers<'a> {
        let mut free = FreeServers::new();
        for server in self.servers(view) {
            if server.draining
                || server.membership.is_some()
                || self.pending.contains_key(&server.id)
                || self.is_assigned(&server.id)
                || self.is_contradicted(server)
            {
                continue;
            }
            free.entry(server.domain.clone()).or_default().push(server);
        }
        free
    }

    /// Returns whether a server is a member of a group that is being formed.
    fn is_assigned(&self, id: &CompactString) -> bool {
        self.formations
            .values()
            .any(|formation| !formation.is_abandoned && formation.members.contains(id))
    }

    /// Returns the domains in which no group is formed for now, because more of their servers are about
    /// to be free or some have only just registered.
    fn held_domains(&self, view: &View<'_>, now: Instant) -> BTreeSet<CompactString> {
        self.servers(view)
            .filter(|server| {
                let is_retiring = server
                    .membership
                    .as_ref()
                    .is_some_and(|membership| self.retiring.contains(&membership.group));
                let is_new = self.records.get(&server.id).is_some_and(|record| {
                    record.model.is_none()
                        && now.since(record.first_seen) < self.options.settle_time
                });
                is_retiring || is_new
            })
            .map(|server| server.domain.clone())
            .collect()
    }

    /// Returns the capacity of the groups that are complete or being formed.
    fn capacity(&self, view: &View<'_>, groups: &[Group]) -> Capacity {
        let engine = view.engine;
        let index = |name: &str| engine.models.iter().position(|model| model.name == name);
        let local: BTreeSet<&str> = groups.iter().map(|group| group.name.as_str()).collect();
        let mut capacity = Capacity::new(engine);
        let mut counted: BTreeSet<CompactString> = BTreeSet::new();
        for group in view.fleet.groups(view.service, engine) {
            let is_local = local.contains(group.name.as_str());
            let Some(model) = index(&group.model) else {
                continue;
            };
            let is_closing = group
                .head()
                .and_then(|id| view.fleet.server(id))
                .and_then(|head| head.membership.as_ref())
                .is_some_and(|membership| {
                    matches!(membership.state, State::Closing | State::Broken)
                });
            if group.is_whole() && !is_closing && !self.retiring.contains(&group.name) {
                capacity.add(engine, model, is_local);
                counted.insert(group.name);
            }
        }
        for (name, formation) in &self.formations {
            let model = model_of(name).and_then(index);
            if let Some(model) =
                model.filter(|_| !formation.is_abandoned && !counted.contains(name))
            {
                capacity.add(engine, model, true);
            }
        }
        capacity
    }

    /// Forms groups out of free servers and chooses the groups to retire.
    pub(super) fn form(
        &mut self,
        view: &View<'_>,
        groups: &[Group],
        now: Instant,
        tasks: &mut Vec<Task>,
    ) {
        let mut free = self.free_servers(view);
        let held = self.held_domains(view, now);
        free.retain(|domain, _| !held.contains(domain));
        let mut capacity = self.capacity(view, groups);
        let mut initial = (!view.has_traffic).then(|| {
            let mut initial = layout::initial_groups(view, &self.options.zone);
            for (index, model) in view.engine.models.iter().enumerate() {
                let groups = capacity.zone[index] / model.size;
                if let Some(count) = initial.get_mut(&model.name) {
                    *count = count.saturating_sub(groups);
                }
            }
            initial
        });
        let is_balanced =
            capacity.pressure(view.engine) <= capacity.ideal(view.engine) / MAX_PRESSURE_RATIO;
        if is_balanced {
            self.imbalanced_since = None;
        } else if self.imbalanced_since.is_none() {
            self.imbalanced_since = Some(now);
        }
        loop {
            let best = self.best_candidate(view, &free, &capacity, initial.as_ref(), now);
            let exchange = self.best_exchange(view, groups, &free, &capacity, now);
            if let Some(exchange) = exchange {
                let is_best = best
                    .as_ref()
                    .is_none_or(|best| exchange.pressure < best.pressure * MAX_PRESSURE_RATIO);
                if is_best {
                    self.last_retired = Some(now);
                    self.retiring.extend(exchange.retired);
                    free.remove(&exchange.domain);
                    continue;
                }
            }
            let Some(best) = best else {
                return;
            };
            let model = &view.engine.models[best.model];
            let servers = free.entry(best.domain).or_default();
            self.sort_by_fit(servers, model, now);
            if !self.acquire_loads(view, best.loads, now) {
                return;
            }
            let members: Vec<&Server> = servers.drain(..model.size).collect();
            capacity = capacity.with(view.engine, best.model);
            if let Some(count) = initial
                .as_mut()
                .and_then(|initial| initial.get_mut(&model.name))
            {
                *count = count.saturating_sub(1);
            }
            self.order_join(&members, model, best.loads, now, tasks);
        }
    }

    /// Returns the group that improves the layout most.
    fn best_candidate(
        &self,
        view: &View<'_>,
        free: &FreeServers<'_>,
        capacity: &Capacity,
        initial: Option<&BTreeMap<CompactString, usize>>,
        now: Instant,
    ) -> Option<Candidate> {
        let current = capacity.pressure(view.engine);
        let mut best: Option<Candidate> = None;
        for (index, model) in view.engine.models.iter().enumerate() {
            let is_wanted = initial
                .and_then(|initial| initial.get(&model.name))
                .is_none_or(|count| *count > 0);
            if !is_wanted {
                continue;
            }
            let pressure = capacity.with(view.engine, index).pressure(view.engine);
            for (domain, servers) in free {
                if servers.len() < model.size {
                    continue;
                }
                let warm = servers
                    .iter()
                    .filter(|server| self.is_warm(server, model))
                    .count();
                let loads = model.size.saturating_sub(warm);
                // Free servers load weights in the background and join once they hold them; until
                // then they can still join groups of models that they hold. While more servers of
                // the domain may become free, they only join a group that lowers the pressure.
                let is_recently_free = servers
                    .iter()
                    .any(|server| self.is_recently_free(server, now));
                let lowers_pressure = pressure < current;
                if view.has_traffic && (loads > 0 || (is_recently_free && !lowers_pressure)) {
                    continue;
                }
                let candidate = Candidate {
                    domain: domain.clone(),
                    model: index,
                    loads,
                    pressure,
                    leftover: servers.len() - model.size,
                };
                if best.as_ref().is_none_or(|best| candidate.is_better(best)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Returns the groups of one domain that should be retired for the model with the highest pressure,
    /// if that outweighs the time in which they serve nothing.
    fn best_exchange(
        &self,
        view: &View<'_>,
        groups: &[Group],
        free: &FreeServers<'_>,
        capacity: &Capacity,
        now: Instant,
    ) -> Option<Exchange> {
        let engine = view.engine;
        let is_paused = self
            .last_retired
            .is_some_and(|last| now.since(last) < RETIRE_PAUSE);
        if !view.has_traffic || is_paused || !self.retiring.is_empty() {
            return None;
        }
        let recipient = capacity.most_pressed(engine)?;
        let limit = capacity.pressure(engine) * MAX_PRESSURE_RATIO;
        let is_lasting = self
            .imbalanced_since
            .is_some_and(|since| now.since(since) >= LARGE_EXCHANGE_DELAY);
        let domains: BTreeSet<CompactString> = self
            .servers(view)
            .map(|server| server.domain.clone())
            .collect();
        domains
            .into_iter()
            .filter_map(|domain| {
                self.exchange_in_domain(view, groups, free, capacity, recipient, domain)
            })
            .filter(|exchange| exchange.pressure < limit)
            .filter(|exchange| exchange.is_small || is_lasting)
            .min_by(|left, right| left.pressure.total_cmp(&right.pressure))
    }

    /// Returns the groups of a domain to retire for one group of a model, if there are enough.
    fn exchange_in_domain(
        &self,
        view: &View<'_>,
        groups: &[Group],
        free: &FreeServers<'_>,
        capacity: &Capacity,
        recipient: usize,
        domain: CompactString,
    ) -> Option<Exchange> {
        let engine = view.engine;
        let model = &engine.models[recipient];
        let free_in_domain = free.get(&domain).map_or(&[][..], Vec::as_slice);
        let mut warm = free_in_domain
            .iter()
            .filter(|server| self.is_warm(server, model))
            .count();
        let mut exchanged = capacity.clone();
        let mut retired = Vec::new();
        for group in groups {
            if warm >= model.size {
                break;
            }
            let index = engine
                .models
                .iter()
                .position(|other| other.name == group.model);
            let fitting = self.count_fitting_members(view, group, &domain, model);
            if let Some((index, fitting)) = index.zip(fitting) {
                warm += fitting;
                exchanged = exchanged.without(engine, index);
                retired.push(group.name.clone());
            }
        }
        if warm < model.size || retired.is_empty() {
            return None;
        }
        Some(Exchange {
            pressure: exchanged.with(engine, recipient).pressure(engine),
            domain,
            is_small: retired.len() == 1,
            retired,
        })
    }

    /// Returns the number of a group's members if all of them hold a model's weights and the group may
    /// be retired for it.
    fn count_fitting_members(
        &self,
        view: &View<'_>,
        group: &Group,
        domain: &str,
        model: &Model,
    ) -> Option<usize> {
        if group.model == model.name || !group.is_whole() {
            return None;
        }
        let members = view.members(group);
        let is_open = members.first().is_some_and(|head| {
            head.membership
                .as_ref()
                .is_some_and(|membership| membership.state == State::Open)
        });
        let are_all_fitting = members.iter().all(|member| {
            member.domain == domain && !member.draining && self.is_warm(member, model)
        });
        (is_open && are_all_fitting).then_some(members.len())
    }

    /// Returns whether a server should still wait for others before it loads weights.
    fn is_recently_free(&self, server: &Server, now: Instant) -> bool {
        self.records
            .get(&server.id)
            .and_then(|record| record.free_since)
            .is_none_or(|since| now.since(since) < self.options.warm_wait)
    }

    /// Returns whether a server holds a model's weights.
    fn is_warm(&self, server: &Server, model: &Model) -> bool {
        self.last_model(server) == Some(&model.name) || server.staged.contains(&model.name)
    }

    /// Returns whether other servers are preferred to a server.
    fn is_avoided(&self, server: &Server, now: Instant) -> bool {
        let record = self.records.get(&server.id);
        let until = record.and_then(|record| record.avoided_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the model of a server's last group.
    fn last_model(&self, server: &Server) -> Option<&CompactString> {
        self.records
            .get(&server.id)
            .and_then(|record| record.model.as_ref())
    }

    /// Sorts servers by how well they fit a model, best first.
    fn sort_by_fit(&self, servers: &mut [&Server], model: &Model, now: Instant) {
        servers.sort_by_key(|server| {
            let rank = if self.last_model(server) == Some(&model.name) {
                0
            } else if server.staged.contains(&model.name) {
                1
            } else if server.staged.is_empty() {
                2
            } else {
                3
            };
            (self.is_avoided(server, now), rank, server.id.clone())
        });
    }

    /// Returns whether a number of loads may begin now, and counts them if so.
    fn acquire_loads(&mut self, view: &View<'_>, loads: usize, now: Instant) -> bool {
        // Until requests arrive, loads are quick and not limited.
        if loads == 0 || !view.has_traffic {
            return true;
        }
        let zones = self.options.zones.max(1);
        self.load_limiter
            .acquire(loads, view.engine.loads_per_second / zones as f64, now)
    }

    /// Orders servers to join a new group of a model.
    fn order_join(
        &mut self,
        members: &[&Server],
        model: &Model,
        loads: usize,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) {
        self.next_group += 1;
        self.min_epoch += EPOCH_STEP;
        let group = group_name(&model.name, self.fence, self.next_group);
        let ids: Vec<CompactString> = members.iter().map(|member| member.id.clone()).collect();
        let join = Command::Join {
            group: group.clone(),
            epoch: self.min_epoch,
            model: model.name.clone(),
            members: ids.clone(),
        };
        for server in members {
            self.issue(server, join.clone(), now, "the model lacks groups", tasks);
        }
        let formation = Formation {
            since: now,
            loads,
            join: Some(join),
            members: ids,
            is_abandoned: false,
        };
        self.formations.insert(group, formation);
    }

    /// Loads the weights of a second model into servers' memory, so that the remaining members of a
    /// group can form a group of either model within seconds.
    ///
    /// A server can always rejoin a group of its last model quickly.
    pub(super) fn stage(
        &mut self,
        view: &View<'_>,
        groups: &[Group],
        now: Instant,
        tasks: &mut Vec<Task>,
    ) {
        let capacity = self.capacity(view, groups);
        let servers: Vec<&Server> = self.servers(view).collect();
        for server in servers {
            if !self.can_stage(server, now) {
                continue;
            }
            let model = if view.has_traffic {
                self.model_to_load(view, server, &capacity, now)
            } else {
                self.second_model(view, server)
            };
            let Some(model) = model else {
                continue;
            };
            if self.known_state(server, now).is_none() {
                self.query(server, now, tasks);
                continue;
            }
            if !self.acquire_loads(view, 1, now) {
                continue;
            }
            let staged_by = now + Millis(model.load_time.0 * self.options.load_time_factor);
            if let Some(record) = self.records.get_mut(&server.id) {
                record.staging = Some((model.name.clone(), staged_by));
            }
            let command = Command::Stage {
                model: model.name.clone(),
            };
            self.issue(
                server,
                command,
                now,
                "the server should fit a second model",
                tasks,
            );
        }
    }

    /// Returns whether a server can load weights into memory now.
    fn can_stage(&self, server: &Server, now: Instant) -> bool {
        let is_settled = match server
            .membership
            .as_ref()
            .map(|membership| membership.state)
        {
            Some(State::Ready | State::Open) => true,
            None => !self.is_assigned(&server.id),
            Some(State::Joining | State::Closing | State::Broken) => false,
        };
        let is_staging = self.records.get(&server.id).is_some_and(|record| {
            let staging = record.staging.as_ref();
            staging.is_some_and(|(model, staged_by)| {
                now < *staged_by && !server.staged.contains(model)
            })
        });
        is_settled && !is_staging && !server.draining && !self.pending.contains_key(&server.id)
    }

    /// Returns the model that a free server should load, if any.
    fn model_to_load<'a>(
        &self,
        view: &View<'a>,
        server: &Server,
        capacity: &Capacity,
        now: Instant,
    ) -> Option<&'a Model> {
        let last = self.last_model(server);
        let is_new = server.staged.is_empty() && last.is_none();
        if server.membership.is_some() || (!is_new && self.is_recently_free(server, now)) {
            return None;
        }
        let models = &view.engine.models;
        let most_pressed = &models[capacity.most_pressed(view.engine)?];
        let imbalance = self.imbalanced_since.map(|since| now.since(since));
        // An imbalance that lasts longer than a load justifies it, whatever the server holds.
        let is_justified =
            imbalance.is_some_and(|imbalance| is_new || imbalance >= most_pressed.load_time);
        if is_justified && !self.is_warm(server, most_pressed) {
            return Some(most_pressed);
        }
        if last.is_none() {
            return self.spare_server_model(view, server);
        }
        // A server that has been in a group holds one more model than that group's.
        if server.staged.iter().any(|model| Some(model) != last) {
            return None;
        }
        let missing = models.iter().filter(|model| !self.is_warm(server, model));
        missing.max_by(compare_size)
    }

    /// Returns the model that a server without a former group should load, if any.
    ///
    /// The free servers of a domain are spread over the models, so that each group of the domain
    /// finds a replacement for a lost member.
    fn spare_server_model<'a>(&self, view: &View<'a>, server: &Server) -> Option<&'a Model> {
        let others: Vec<&Server> = self
            .servers(view)
            .filter(|other| other.domain == server.domain && other.id != server.id)
            .filter(|other| {
                other.membership.is_none() && !other.draining && !self.is_assigned(&other.id)
            })
            .collect();
        let count = |model: &Model| {
            let would_fit = |other: &&&Server| match self.staging_model(other) {
                Some(staging) => {
                    *staging == model.name || self.last_model(other) == Some(&model.name)
                }
                None => self.is_warm(other, model),
            };
            others.iter().filter(would_fit).count()
        };
        let models = &view.engine.models;
        let min_count = models.iter().map(count).min()?;
        // A server replaces the weights that it holds only if that makes the spread more even.
        let least_held = models.iter().filter(|model| count(model) == min_count);
        if least_held
            .clone()
            .any(|model| server.staged.contains(&model.name))
        {
            return None;
        }
        least_held.min_by(|left, right| compare_size(right, left))
    }

    /// Returns the model whose weights a server is loading into memory.
    fn staging_model(&self, server: &Server) -> Option<&CompactString> {
        let (model, _) = self.records.get(&server.id)?.staging.as_ref()?;
        (!server.staged.contains(model)).then_some(model)
    }

    /// Returns the model that a server should load into memory beside the model of its last group, if
    /// any.
    ///
    /// Every server holds the model with the largest groups, which are the hardest to form: as the
    /// model of its last group, or in memory. Members of that model's groups with odd rank hold a
    /// second model in memory, so that the remaining members of a group can serve it, while enough
    /// servers of a domain that restarts still hold the first in memory.
    fn second_model<'a>(&self, view: &View<'a>, server: &Server) -> Option<&'a Model> {
        let last = self.last_model(server);
        if server.membership.is_none() && last.is_none() {
            return self.spare_server_model(view, server);
        }
        let models = &view.engine.models;
        let largest = models.iter().max_by(compare_size)?;
        let is_odd = server
            .membership
            .as_ref()
            .is_some_and(|membership| membership.rank % 2 == 1);
        let second = if last != Some(&largest.name) {
            largest
        } else if is_odd {
            let others = models.iter().filter(|model| model.name != largest.name);
            others.max_by(compare_size)?
        } else {
            return None;
        };
        (!server.staged.contains(&second.name)).then_some(second)
    }
}

/// Compares models by the size of their groups, then by their share of the work.
fn compare_size(left: &&Model, right: &&Model) -> Ordering {
    let order = left.size.cmp(&right.size);
    order.then(left.share.total_cmp(&right.share))
}

impl Candidate {
    /// Returns whether this group should be formed before another one.
    ///
    /// Groups that can serve within seconds go first, then those with the lowest pressure, then those
    /// with the fewest loads and the fewest leftover servers.
    fn is_better(&self, other: &Candidate) -> bool {
        let is_warm = self.loads == 0;
        let other_is_warm = other.loads == 0;
        if is_warm != other_is_warm {
            return is_warm;
        }
        match self.pressure.total_cmp(&other.pressure) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => (self.loads, self.leftover) < (other.loads, other.leftover),
        }
    }
}
