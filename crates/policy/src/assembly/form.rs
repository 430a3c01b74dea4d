//! Forms groups out of free servers, lets groups give their servers to a model that needs them
//! more, and keeps servers able to serve either model.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Server, State};
use jackdaw_core::config::Model;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::layout::{self, Capacity};
use super::{EPOCH_STEP, Forming, Planner, Task, View};
use crate::fleet::{Group, group_name, model_of};

/// Part of the pressure that has to remain at most for groups to be retired for another model;
/// they serve nothing for some seconds meanwhile.
const WORTHWHILE: f64 = 0.93;
/// Time for which an imbalance has to last before several groups are retired for one: the zone that
/// has free servers for the model in need goes first.
const LARGE_EXCHANGE: Millis = Millis(4_000);
/// Pause between two retirements, in which the registrations show the effect of the first.
const RETIRE_PAUSE: Millis = Millis(4_000);

/// Free servers by domain.
type Free<'a> = BTreeMap<CompactString, Vec<&'a Server>>;

/// A group that could be formed.
struct Candidate {
    domain: CompactString,
    model: usize,
    loads: usize,
    pressure: f64,
    left: usize,
}

/// Groups that could give their servers to another model.
struct Exchange {
    domain: CompactString,
    given: Vec<CompactString>,
    pressure: f64,
    /// Whether one group is enough, since free servers make up the rest.
    is_small: bool,
}

impl Planner {
    /// Returns the servers that may join a group, by domain.
    fn free<'a>(&self, view: &View<'a>, groups: &[Group]) -> Free<'a> {
        // The first member of a former group may still serve.
        let serving: BTreeSet<&str> = groups
            .iter()
            .filter(|group| group.head().is_some())
            .map(|group| group.name.as_str())
            .collect();
        let mut free = Free::new();
        for server in self.servers(view) {
            let memory = self.memory.get(&server.id);
            let former = memory.and_then(|one| one.group.as_deref());
            if server.draining
                || server.membership.is_some()
                || self.pending.contains_key(&server.id)
                || self.is_enlisted(&server.id)
                || former.is_some_and(|group| serving.contains(group))
            {
                continue;
            }
            free.entry(server.domain.clone()).or_default().push(server);
        }
        free
    }

    fn is_enlisted(&self, id: &CompactString) -> bool {
        self.forming
            .values()
            .any(|forming| !forming.given_up && forming.members.contains(id))
    }

    /// Returns the domains in which nothing is formed for now: others of their servers are about to
    /// be free, or have only just registered.
    fn held(&self, view: &View<'_>, now: Instant) -> BTreeSet<CompactString> {
        self.servers(view)
            .filter(|server| {
                let is_retiring = server
                    .membership
                    .as_ref()
                    .is_some_and(|one| self.retiring.contains(&one.group));
                let is_new = self.memory.get(&server.id).is_some_and(|memory| {
                    memory.model.is_none() && now.since(memory.seen) < self.options.settle
                });
                is_retiring || is_new
            })
            .map(|server| server.domain.clone())
            .collect()
    }

    /// Returns the servers in groups that are whole or being formed.
    fn capacity(&self, view: &View<'_>, groups: &[Group]) -> Capacity {
        let engine = view.engine;
        let number = |name: &str| engine.models.iter().position(|model| model.name == name);
        let local: BTreeSet<&str> = groups.iter().map(|group| group.name.as_str()).collect();
        let mut capacity = Capacity::new(engine);
        let mut counted: BTreeSet<CompactString> = BTreeSet::new();
        for group in view.fleet.groups(view.service, engine) {
            let is_local = local.contains(group.name.as_str());
            let Some(model) = number(&group.model) else {
                continue;
            };
            let is_closing = group
                .head()
                .and_then(|id| view.fleet.server(id))
                .and_then(|head| head.membership.as_ref())
                .is_some_and(|one| matches!(one.state, State::Closing | State::Broken));
            if group.is_whole() && !is_closing && !self.retiring.contains(&group.name) {
                capacity.add(engine, model, is_local);
                counted.insert(group.name);
            }
        }
        for (name, forming) in &self.forming {
            let model = model_of(name).and_then(number);
            if let Some(model) = model.filter(|_| !forming.given_up && !counted.contains(name)) {
                capacity.add(engine, model, true);
            }
        }
        capacity
    }

    /// Forms groups out of free servers.
    pub(super) fn form(
        &mut self,
        view: &View<'_>,
        groups: &[Group],
        now: Instant,
        out: &mut Vec<Task>,
    ) {
        let mut free = self.free(view, groups);
        let held = self.held(view, now);
        free.retain(|domain, _| !held.contains(domain));
        let mut capacity = self.capacity(view, groups);
        let mut first = (!view.has_traffic).then(|| {
            let mut first = layout::first_groups(view, &self.options.zone);
            for (number, model) in view.engine.models.iter().enumerate() {
                let groups = capacity.zone[number] / model.size;
                if let Some(count) = first.get_mut(&model.name) {
                    *count = count.saturating_sub(groups);
                }
            }
            first
        });
        let is_balanced =
            capacity.pressure(view.engine) <= capacity.ideal(view.engine) / WORTHWHILE;
        if is_balanced {
            self.needy_since = None;
        } else if self.needy_since.is_none() {
            self.needy_since = Some(now);
        }
        loop {
            let best = self.best(view, &free, &capacity, first.as_ref(), now);
            let exchange = self.exchange(view, groups, &free, &capacity, now);
            if let Some(exchange) = exchange {
                let is_best = best
                    .as_ref()
                    .is_none_or(|best| exchange.pressure < best.pressure * WORTHWHILE);
                if is_best {
                    self.last_retired = Some(now);
                    self.retiring.extend(exchange.given);
                    free.remove(&exchange.domain);
                    continue;
                }
            }
            let Some(best) = best else {
                return;
            };
            let model = &view.engine.models[best.model];
            let servers = free.entry(best.domain).or_default();
            self.sort_for(servers, model, now);
            if !self.may_load(view, best.loads, now) {
                return;
            }
            let members: Vec<&Server> = servers.drain(..model.size).collect();
            capacity = capacity.with(view.engine, best.model);
            if let Some(count) = first.as_mut().and_then(|first| first.get_mut(&model.name)) {
                *count = count.saturating_sub(1);
            }
            self.join(&members, model, best.loads, now, out);
        }
    }

    /// Returns the group whose forming makes the layout best.
    fn best(
        &self,
        view: &View<'_>,
        free: &Free<'_>,
        capacity: &Capacity,
        first: Option<&BTreeMap<CompactString, usize>>,
        now: Instant,
    ) -> Option<Candidate> {
        let before = capacity.pressure(view.engine);
        let mut best: Option<Candidate> = None;
        for (number, model) in view.engine.models.iter().enumerate() {
            let is_wanted = first
                .and_then(|first| first.get(&model.name))
                .is_none_or(|count| *count > 0);
            if !is_wanted {
                continue;
            }
            let pressure = capacity.with(view.engine, number).pressure(view.engine);
            for (domain, servers) in free {
                if servers.len() < model.size {
                    continue;
                }
                let warm = servers
                    .iter()
                    .filter(|one| self.is_warm(one, model))
                    .count();
                let loads = model.size.saturating_sub(warm);
                // Free servers load weights in the background and join once they have them; until
                // then they can still join what they have. Nor are they given to a model that does
                // not need them most while others of the domain may become free.
                let is_waiting = servers.iter().any(|one| self.is_waiting(one, now));
                let is_relief = pressure < before;
                if view.has_traffic && (loads > 0 || (is_waiting && !is_relief)) {
                    continue;
                }
                let candidate = Candidate {
                    domain: domain.clone(),
                    model: number,
                    loads,
                    pressure,
                    left: servers.len() - model.size,
                };
                if best.as_ref().is_none_or(|best| candidate.is_better(best)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Returns the groups of other models in one domain that should give their servers to the model
    /// under the highest pressure, if that is worth the time in which they serve nothing.
    fn exchange(
        &self,
        view: &View<'_>,
        groups: &[Group],
        free: &Free<'_>,
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
        let needy = capacity.neediest(engine)?;
        let limit = capacity.pressure(engine) * WORTHWHILE;
        let is_lasting = self
            .needy_since
            .is_some_and(|since| now.since(since) >= LARGE_EXCHANGE);
        let domains: BTreeSet<CompactString> =
            self.servers(view).map(|one| one.domain.clone()).collect();
        domains
            .into_iter()
            .filter_map(|domain| self.exchange_in(view, groups, free, capacity, needy, domain))
            .filter(|exchange| exchange.pressure < limit)
            .filter(|exchange| exchange.is_small || is_lasting)
            .min_by(|left, right| left.pressure.total_cmp(&right.pressure))
    }

    fn exchange_in(
        &self,
        view: &View<'_>,
        groups: &[Group],
        free: &Free<'_>,
        capacity: &Capacity,
        needy: usize,
        domain: CompactString,
    ) -> Option<Exchange> {
        let engine = view.engine;
        let model = &engine.models[needy];
        let spare = free.get(&domain).map_or(&[][..], Vec::as_slice);
        let mut warm = spare.iter().filter(|one| self.is_warm(one, model)).count();
        let mut after = capacity.clone();
        let mut given = Vec::new();
        for group in groups {
            if warm >= model.size {
                break;
            }
            let number = engine.models.iter().position(|one| one.name == group.model);
            let donors = self.donors(view, group, &domain, model);
            if let Some((number, donors)) = number.zip(donors) {
                warm += donors;
                after = after.without(engine, number);
                given.push(group.name.clone());
            }
        }
        if warm < model.size || given.is_empty() {
            return None;
        }
        Some(Exchange {
            pressure: after.with(engine, needy).pressure(engine),
            domain,
            is_small: given.len() == 1,
            given,
        })
    }

    /// Returns how many members a group has that fit a model, if it may give them.
    fn donors(&self, view: &View<'_>, group: &Group, domain: &str, model: &Model) -> Option<usize> {
        if group.model == model.name || !group.is_whole() {
            return None;
        }
        let members = view.members(group);
        let is_open = members.first().is_some_and(|head| {
            head.membership
                .as_ref()
                .is_some_and(|one| one.state == State::Open)
        });
        let is_here = members
            .iter()
            .all(|one| one.domain == domain && !one.draining && self.is_warm(one, model));
        (is_open && is_here).then_some(members.len())
    }

    fn is_waiting(&self, server: &Server, now: Instant) -> bool {
        self.memory
            .get(&server.id)
            .and_then(|memory| memory.free_since)
            .is_none_or(|since| now.since(since) < self.options.patience)
    }

    fn is_warm(&self, server: &Server, model: &Model) -> bool {
        self.last_model(server) == Some(&model.name) || server.staged.contains(&model.name)
    }

    fn is_distrusted(&self, server: &Server, now: Instant) -> bool {
        let memory = self.memory.get(&server.id);
        let until = memory.and_then(|one| one.distrusted_until);
        until.is_some_and(|until| now < until)
    }

    fn last_model(&self, server: &Server) -> Option<&CompactString> {
        self.memory
            .get(&server.id)
            .and_then(|one| one.model.as_ref())
    }

    /// Moves the servers that fit a model best to the front.
    fn sort_for(&self, servers: &mut [&Server], model: &Model, now: Instant) {
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
            (self.is_distrusted(server, now), rank, server.id.clone())
        });
    }

    /// Returns whether weights may be loaded now, and counts them if so.
    fn may_load(&mut self, view: &View<'_>, loads: usize, now: Instant) -> bool {
        // Until requests come, loads are quick and not limited.
        if loads == 0 || !view.has_traffic {
            return true;
        }
        let zones = self.options.zones.max(1);
        self.loads
            .take(loads, view.engine.loads_per_second / zones as f64, now)
    }

    fn join(
        &mut self,
        members: &[&Server],
        model: &Model,
        loads: usize,
        now: Instant,
        out: &mut Vec<Task>,
    ) {
        self.next_group += 1;
        self.min_epoch += EPOCH_STEP;
        let group = group_name(&model.name, self.fence, self.next_group);
        let ids: Vec<CompactString> = members.iter().map(|one| one.id.clone()).collect();
        let join = Command::Join {
            group: group.clone(),
            epoch: self.min_epoch,
            model: model.name.clone(),
            members: ids.clone(),
        };
        for server in members {
            self.give(server, join.clone(), now, "the model lacks groups", out);
        }
        let forming = Forming {
            since: now,
            loads,
            join: Some(join),
            members: ids,
            given_up: false,
        };
        self.forming.insert(group, forming);
    }

    /// Lets servers hold the weights of a second model in memory, so that the survivors of a group
    /// can form a group of either model within seconds. The model of its last group is quick to
    /// join again in any case.
    pub(super) fn stage(
        &mut self,
        view: &View<'_>,
        groups: &[Group],
        now: Instant,
        out: &mut Vec<Task>,
    ) {
        let capacity = self.capacity(view, groups);
        let servers: Vec<&Server> = self.servers(view).collect();
        for server in servers {
            if !self.may_stage(server, now) {
                continue;
            }
            let model = if view.has_traffic {
                self.missing_model(view, server, &capacity, now)
            } else {
                self.second_model(view, server)
            };
            let Some(model) = model else {
                continue;
            };
            if !self.may_load(view, 1, now) {
                continue;
            }
            let done = now + Millis(model.load_time.0 * self.options.load_slack);
            if let Some(memory) = self.memory.get_mut(&server.id) {
                memory.staging = Some((model.name.clone(), done));
            }
            let command = Command::Stage {
                model: model.name.clone(),
            };
            self.give(
                server,
                command,
                now,
                "the server should fit a second model",
                out,
            );
        }
    }

    fn may_stage(&self, server: &Server, now: Instant) -> bool {
        let is_settled = match server.membership.as_ref().map(|one| one.state) {
            Some(State::Ready | State::Open) => true,
            None => !self.is_enlisted(&server.id),
            Some(State::Joining | State::Closing | State::Broken) => false,
        };
        let is_staging = self.memory.get(&server.id).is_some_and(|memory| {
            let under_way = memory.staging.as_ref();
            under_way.is_some_and(|(model, done)| now < *done && !server.staged.contains(model))
        });
        is_settled && !is_staging && !server.draining && !self.pending.contains_key(&server.id)
    }

    /// Returns the model that a free server should load, if any.
    fn missing_model<'a>(
        &self,
        view: &View<'a>,
        server: &Server,
        capacity: &Capacity,
        now: Instant,
    ) -> Option<&'a Model> {
        let last = self.last_model(server);
        let is_new = server.staged.is_empty() && last.is_none();
        if server.membership.is_some() || (!is_new && self.is_waiting(server, now)) {
            return None;
        }
        let models = &view.engine.models;
        let neediest = &models[capacity.neediest(view.engine)?];
        let need = self.needy_since.map(|since| now.since(since));
        // A need that outlasts a load is worth one, whatever the server holds.
        let is_needed = need.is_some_and(|need| is_new || need >= neediest.load_time);
        if is_needed && !self.is_warm(server, neediest) {
            return Some(neediest);
        }
        if last.is_none() {
            return self.spare_model(view, server);
        }
        // A server that has been in a group holds one more model than that group's.
        if server.staged.iter().any(|model| Some(model) != last) {
            return None;
        }
        let missing = models.iter().filter(|model| !self.is_warm(server, model));
        missing.max_by(by_size)
    }

    /// Returns the model that a server without a group should hold, unless it holds it.
    ///
    /// The free servers of a domain are spread over the models, so that any group of the domain
    /// finds one to stand in for a lost member.
    fn spare_model<'a>(&self, view: &View<'a>, server: &Server) -> Option<&'a Model> {
        let others: Vec<&Server> = self
            .servers(view)
            .filter(|one| one.domain == server.domain && one.id != server.id)
            .filter(|one| one.membership.is_none() && !one.draining && !self.is_enlisted(&one.id))
            .collect();
        let count = |model: &Model| {
            let will_fit = |one: &&&Server| match self.staging(one) {
                Some(staging) => {
                    *staging == model.name || self.last_model(one) == Some(&model.name)
                }
                None => self.is_warm(one, model),
            };
            others.iter().filter(will_fit).count()
        };
        let models = &view.engine.models;
        let fewest = models.iter().map(count).min()?;
        // To replace what is held only pays if it makes the spread more even.
        let rare = models.iter().filter(|model| count(model) == fewest);
        if rare
            .clone()
            .any(|model| server.staged.contains(&model.name))
        {
            return None;
        }
        rare.min_by(|left, right| by_size(right, left))
    }

    /// Returns the model that a server is loading into its memory.
    fn staging(&self, server: &Server) -> Option<&CompactString> {
        let (model, _) = self.memory.get(&server.id)?.staging.as_ref()?;
        (!server.staged.contains(model)).then_some(model)
    }

    /// Returns the model that a server should hold in memory beside the model of its last group.
    ///
    /// Every server can serve the model with the largest groups, which are the hardest to form: in
    /// its last group, or from memory. Of that model's members, those of odd rank hold the second
    /// model instead, so that the survivors of a group can serve it, and enough servers of a domain
    /// that starts anew still hold the first.
    fn second_model<'a>(&self, view: &View<'a>, server: &Server) -> Option<&'a Model> {
        let last = self.last_model(server);
        if server.membership.is_none() && last.is_none() {
            return self.spare_model(view, server);
        }
        let models = &view.engine.models;
        let largest = models.iter().max_by(by_size)?;
        let is_odd = server
            .membership
            .as_ref()
            .is_some_and(|one| one.rank % 2 == 1);
        let wanted = if last != Some(&largest.name) {
            largest
        } else if is_odd {
            let others = models.iter().filter(|model| model.name != largest.name);
            others.max_by(by_size)?
        } else {
            return None;
        };
        (!server.staged.contains(&wanted.name)).then_some(wanted)
    }
}

/// Orders models by the size of their groups, then by their share of the work.
fn by_size(left: &&Model, right: &&Model) -> Ordering {
    let order = left.size.cmp(&right.size);
    order.then(left.share.total_cmp(&right.share))
}

impl Candidate {
    /// Groups that serve within seconds go first, then those that relieve most, then those that
    /// leave fewest servers over.
    fn is_better(&self, other: &Candidate) -> bool {
        let is_warm = self.loads == 0;
        let other_is_warm = other.loads == 0;
        if is_warm != other_is_warm {
            return is_warm;
        }
        match self.pressure.total_cmp(&other.pressure) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => (self.loads, self.left) < (other.loads, other.left),
        }
    }
}
