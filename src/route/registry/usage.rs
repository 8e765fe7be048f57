//! Load of the engines: what this host runs on them, and what the other hosts report.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Engine, Registry};
use crate::clock::Clock;
use crate::route::load::{EngineHash, Footprint, Load, Usage};
use crate::route::reports::Source;
use crate::sched::admission;
use crate::supervisor::Signal;

impl<C: Clock> Registry<C> {
    /// Returns a number that grows with each change of the load that this host causes.
    pub fn own_load_version(&self) -> u64 {
        self.own_load_version
    }

    /// Returns the engines of a service that may get requests, with their slots.
    pub fn usable(&self, service: &str) -> Vec<admission::Engine> {
        let engines = self.by_id.iter();
        let of_service =
            engines.filter(|(_, key)| self.engines[**key].registration.service == service);
        let usable = of_service.filter(|(_, key)| self.is_usable(**key));
        usable
            .map(|(id, key)| admission::Engine {
                id: EngineHash::of(id),
                slots: self.engines[*key].registration.slots,
            })
            .collect()
    }

    /// Returns the load that this host causes, by engine.
    pub fn own_usages(&self) -> Vec<Usage> {
        let now = self.clock.now();
        let loads = self.engines.values().map(|state| {
            let read = state.own_readings.sums(now);
            (
                &state.registration.id,
                Load {
                    read,
                    ..state.own_load
                },
            )
        });
        let busy = loads.filter(|(_, load)| *load != Load::default());
        busy.map(|(id, load)| Usage::new(EngineHash::of(id), load))
            .collect()
    }

    /// Returns the load by engine that this host and the hosts that report to it cause together,
    /// without the load that representatives report.
    pub fn joint_usages(&self) -> Vec<Usage> {
        let mut sums: BTreeMap<EngineHash, Load> = BTreeMap::new();
        for usage in self.reports.host_usages().chain(self.own_usages()) {
            sums.entry(usage.engine).or_default().add(&usage.load());
        }
        let usages = sums.into_iter();
        usages
            .map(|(engine, load)| Usage::new(engine, load))
            .collect()
    }

    /// Applies report `number` of a source; returns `false` if it is out of date.
    pub fn set_report(&mut self, source: Source, number: u64, usages: Vec<Usage>) -> bool {
        if !self.reports.is_newer(&source, number) {
            return false;
        }
        self.update_peer_load(&usages, Load::add);
        let now = self.clock.now();
        let old = self.reports.replace(source, number, usages, now);
        self.update_peer_load(&old, Load::subtract);
        true
    }

    /// Returns the age of the oldest report, or zero if there is none.
    pub fn reports_age(&self) -> Duration {
        self.reports.age(self.clock.now())
    }

    /// Removes the reports that are too old, and their load.
    pub fn expire_reports(&mut self) {
        let old = self.reports.expire(self.clock.now());
        self.update_peer_load(&old, Load::subtract);
    }

    fn update_peer_load(&mut self, usages: &[Usage], update: fn(&mut Load, &Load)) {
        for usage in usages {
            if let Some(key) = self.by_hash.get(&usage.engine) {
                update(&mut self.engines[*key].peer_load, &usage.load());
            }
        }
    }

    /// Records that a request is sent to an engine.
    pub fn begin(&mut self, engine: Engine, footprint: Footprint) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            if state.own_load.running == 0 {
                state.checked_at = now;
            }
            if state.lost.is_set() {
                state.lost = Signal::default();
            }
            self.holds.record_request(state.incarnation, now);
            self.own_load_version += 1;
            state.own_load.running += 1;
            state.own_load.reading += u64::from(footprint.unread());
            state.own_load.memory += footprint.memory();
        }
    }

    /// Records the first output of a request, by which its prompt has been prefilled.
    pub fn set_prefilled(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            let load = &mut state.own_load;
            load.reading = load.reading.saturating_sub(u64::from(footprint.unread()));
        }
    }

    /// Records the end of a request. `had_output` tells whether [`Registry::set_prefilled`] was
    /// called.
    pub fn end(&mut self, engine: Engine, footprint: Footprint, had_output: bool) {
        if !had_output {
            self.set_prefilled(engine, footprint);
        }
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        self.own_load_version += 1;
        state.own_load.running = state.own_load.running.saturating_sub(1);
        state.own_load.memory = state.own_load.memory.saturating_sub(footprint.memory());
        let is_listed = self.by_id.get(&state.registration.id) == Some(&engine);
        if !is_listed && state.own_load.running == 0 {
            self.engines.remove(engine);
        }
    }

    /// Records that an engine holds a replica from now on.
    pub fn hold_replica(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            state.own_load.memory += footprint.memory();
        }
    }

    /// Records that an engine no longer holds a replica.
    pub fn release_replica(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            state.own_load.memory = state.own_load.memory.saturating_sub(footprint.memory());
        }
    }
}
