//! Which order to give next, free of sockets and clocks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};

use crate::config::split::{Model, SharedSettings};
use crate::util::hash64;
use crate::wire;
use crate::wire::Action;

/// Time after which an order that an engine accepted must show in its status.
const EFFECT_LIMIT: Duration = Duration::from_secs(60);

/// An engine as it was seen last.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name.
    pub name: CompactString,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Model that it is listed for.
    pub model: CompactString,
    /// Its status, `None` if it did not answer.
    pub status: Option<wire::Status>,
}

/// An order that should be given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Next {
    /// Name of the engine.
    pub engine: CompactString,
    /// Address of the engine, `IP:PORT`.
    pub address: CompactString,
    /// Model that the engine is listed for.
    pub model: CompactString,
    /// Identity; the same order has the same one, whoever gives it.
    pub id: CompactString,
    /// What the engine should do.
    pub action: Action,
}

/// An order that was given.
#[derive(Clone, Debug)]
struct Given {
    model: CompactString,
    id: CompactString,
    action: Action,
    at: Instant,
    was_accepted: bool,
}

/// What a holder of the lease remembers between two looks at the engines.
#[derive(Debug)]
pub struct Plan {
    // Invariant: at most one order of each model is under way.
    given: BTreeMap<CompactString, Given>,
    // Ids that an engine accepted, but whose effect did not show in time: they are used up.
    used: BTreeSet<CompactString>,
    // Engines to which the holder before was giving orders; they come first, because one of them
    // may be out of service already.
    inherited: BTreeSet<CompactString>,
    next_load: Instant,
}

impl Plan {
    /// Creates the plan of a host that took the lease at `now`; `inherited` are the engines that the
    /// holder before had under way.
    ///
    /// The first load waits for a whole interval, because the holder before may just have given
    /// one.
    pub fn new(split: &SharedSettings, inherited: BTreeSet<CompactString>, now: Instant) -> Self {
        Self {
            given: BTreeMap::new(),
            used: BTreeSet::new(),
            inherited,
            next_load: now + interval(split),
        }
    }

    /// Returns the engines that have orders under way.
    pub fn under_way(&self) -> impl Iterator<Item = &CompactString> {
        self.given.keys()
    }

    /// Returns the order to give now; each model has one under way at most.
    pub fn next(
        &mut self,
        split: &SharedSettings,
        revision: u64,
        engines: &[Engine],
        now: Instant,
    ) -> Option<Next> {
        self.forget_done(engines, now);
        if now < self.next_load {
            return None;
        }
        split.models.iter().find_map(|(name, model)| {
            if self.given.values().any(|given| given.model == *name) {
                return None;
            }
            let of_model: Vec<_> = engines
                .iter()
                .filter(|engine| engine.model == *name)
                .collect();
            self.next_of_model(name, model, revision, &of_model)
        })
    }

    /// Notes that an order is being given.
    pub fn begin(&mut self, split: &SharedSettings, next: &Next, now: Instant) {
        self.next_load = now + interval(split);
        let given = Given {
            model: next.model.clone(),
            id: next.id.clone(),
            action: next.action.clone(),
            at: now,
            was_accepted: false,
        };
        self.given.insert(next.engine.clone(), given);
    }

    /// Notes what became of an order; one that was not accepted is given again under the same id.
    pub fn answered(&mut self, engine: &str, was_accepted: bool) {
        if !was_accepted {
            self.given.remove(engine);
        } else if let Some(given) = self.given.get_mut(engine) {
            given.was_accepted = true;
        }
    }

    fn next_of_model(
        &self,
        name: &CompactString,
        model: &Model,
        revision: u64,
        engines: &[&Engine],
    ) -> Option<Next> {
        let serving = engines.iter().filter(|engine| serves(engine)).count();
        // Rounded down, so that a model with few engines can change at all.
        let floor = engines.len() * model.min_serving_percent as usize / 100;
        let due = engines
            .iter()
            .filter_map(|engine| Some((engine, missing(engine, name, model)?)));
        let (engine, action) = due.min_by_key(|(engine, _)| {
            let is_inherited = self.inherited.contains(&engine.name);
            (!is_inherited, serves(engine), &engine.name)
        })?;
        if serves(engine) && serving <= floor {
            return None;
        }
        let ids = (0..).map(|repeat| id(revision, &engine.name, &action, repeat));
        let id = ids.into_iter().find(|id| !self.used.contains(id))?;
        Some(Next {
            engine: engine.name.clone(),
            address: engine.address.clone(),
            model: name.clone(),
            id,
            action,
        })
    }

    fn forget_done(&mut self, engines: &[Engine], now: Instant) {
        let by_name: BTreeMap<_, _> = engines.iter().map(|e| (&e.name, e)).collect();
        let used = &mut self.used;
        self.given.retain(|name, given| {
            let Some(engine) = by_name.get(name) else {
                return false;
            };
            let status = engine.status.as_ref();
            if status.is_some_and(|status| shows(status, &given.action)) {
                return false;
            }
            if now.duration_since(given.at) < EFFECT_LIMIT {
                return true;
            }
            if given.was_accepted {
                used.insert(given.id.clone());
            }
            false
        });
    }
}

/// Returns the shortest time between two loads.
fn interval(split: &SharedSettings) -> Duration {
    Duration::from_secs(60) / split.weight_store.loads_per_minute.max(1)
}

fn serves(engine: &Engine) -> bool {
    let status = engine.status.as_ref();
    status.is_some_and(|status| !status.leaving && status.role == "serve")
}

/// Returns the first order that an engine needs, `None` if it needs none or cannot be seen.
fn missing(engine: &Engine, name: &CompactString, model: &Model) -> Option<Action> {
    let status = engine.status.as_ref().filter(|status| !status.leaving)?;
    let loaded = status.models.iter().find(|loaded| loaded.model == *name);
    let Some(loaded) = loaded.filter(|loaded| loaded.version == model.version) else {
        return Some(Action::Load {
            model: name.clone(),
            version: model.version.clone(),
        });
    };
    let adapter = model
        .adapters
        .iter()
        .find(|adapter| !loaded.adapters.contains(adapter))?;
    Some(Action::Adapter {
        adapter: adapter.clone(),
    })
}

fn shows(status: &wire::Status, action: &Action) -> bool {
    status.models.iter().any(|loaded| match action {
        Action::Load { model, version } => loaded.model == *model && loaded.version == *version,
        Action::Adapter { adapter } => loaded.adapters.contains(adapter),
        Action::Role { role } => status.role == *role,
    })
}

fn id(revision: u64, engine: &str, action: &Action, repeat: u32) -> CompactString {
    let action = serde_json::to_vec(action).expect("an action serializes");
    let hash = hash64(&[&revision.to_le_bytes(), engine.as_bytes(), &action]);
    format_compact!("{revision}-{hash:016x}-{repeat}")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::ini::File;

    fn split(version: &str) -> SharedSettings {
        let text = format!(
            "[partner a]\nshare = 1\n[model m]\nversion = {version}\nadapters = fog\n\
             min_serving_percent = 50\n[weight-store]\nloads_per_minute = 60\n"
        );
        SharedSettings::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
    }

    fn engine(name: &str, version: &str, adapters: &[&str], leaving: bool) -> Engine {
        let loaded = wire::Model {
            model: "m".into(),
            version: version.into(),
            adapters: adapters.iter().map(|name| (*name).into()).collect(),
        };
        Engine {
            name: name.into(),
            address: "127.0.0.1:1".into(),
            model: "m".into(),
            status: Some(wire::Status {
                name: name.into(),
                failure_domain: "fd-a".into(),
                models: vec![loaded],
                role: "serve".into(),
                slots: 1,
                load: wire::Load::default(),
                leaving,
                next_seq: 0,
                events: Vec::new(),
            }),
        }
    }

    fn second(plan_start: Instant, seconds: u64) -> Instant {
        plan_start + Duration::from_secs(seconds)
    }

    /// Guards against orders that nobody needs, that go to the wrong engine, or that leave too few
    /// engines serving.
    #[test]
    fn the_next_order() {
        let right = || engine("a", "2", &["fog"], false);
        let dead = || Engine {
            status: None,
            ..engine("d", "1", &[], false)
        };
        let cases = [
            (vec![right(), right()], None),
            (vec![engine("b", "1", &["fog"], false)], Some("load 2")),
            (vec![engine("b", "2", &[], false)], Some("adapter fog")),
            (vec![right(), engine("b", "1", &[], true)], None),
            (vec![right(), dead()], None),
            // One of two engines must serve, and the other one does not.
            (vec![engine("b", "1", &[], false), dead()], None),
            (
                vec![right(), right(), engine("b", "1", &[], false), dead()],
                Some("load 2"),
            ),
        ];
        for (engines, expected) in cases {
            let start = Instant::now();
            let mut plan = Plan::new(&split("2"), BTreeSet::new(), start);
            assert_eq!(
                plan.next(&split("2"), 7, &engines, start),
                None,
                "too early"
            );
            let next = plan.next(&split("2"), 7, &engines, second(start, 1));
            let next = next.map(|next| match next.action {
                Action::Load { version, .. } => format!("load {version}"),
                Action::Adapter { adapter } => format!("adapter {adapter}"),
                Action::Role { role } => format!("role {role}"),
            });
            assert_eq!(next.as_deref(), expected, "{engines:?}");
        }
    }

    /// Guards against two engines that change at once, also after a change of the holder, a rate above the weight store's, and ids
    /// that differ between holders or stay when an order had no effect.
    #[test]
    fn one_at_a_time_under_one_id() {
        let split = split("2");
        let start = Instant::now();
        let mut engines = vec![
            engine("a", "1", &["fog"], false),
            engine("b", "1", &["fog"], false),
        ];
        let mut plan = Plan::new(&split, BTreeSet::new(), start);
        let first = plan.next(&split, 7, &engines, second(start, 1)).unwrap();
        let other =
            Plan::new(&split, BTreeSet::new(), start).next(&split, 7, &engines, second(start, 1));
        assert_eq!(Some(&first), other.as_ref());
        let mut heir = Plan::new(&split, BTreeSet::from(["b".into()]), start);
        let next = heir.next(&split, 7, &engines, second(start, 1)).unwrap();
        assert_eq!(next.engine, "b");
        plan.begin(&split, &first, second(start, 1));
        plan.answered("a", false);
        assert_eq!(plan.next(&split, 7, &engines, second(start, 1)), None);
        let again = plan.next(&split, 7, &engines, second(start, 2)).unwrap();
        assert_eq!(first, again);
        plan.begin(&split, &again, second(start, 2));
        plan.answered("a", true);
        assert_eq!(plan.next(&split, 7, &engines, second(start, 50)), None);
        let renamed = plan.next(&split, 7, &engines, second(start, 62)).unwrap();
        assert_eq!(renamed.engine, "a");
        assert_ne!(renamed.id, first.id);
        plan.begin(&split, &renamed, second(start, 62));
        engines[0] = engine("a", "2", &["fog"], false);
        let next = plan.next(&split, 7, &engines, second(start, 63)).unwrap();
        assert_eq!(next.engine, "b");
        let undone = plan.next(&split, 8, &engines, second(start, 63)).unwrap();
        assert_ne!(next.id, undone.id);
    }
}
