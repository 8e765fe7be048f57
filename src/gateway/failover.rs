//! Failover from an engine that does not respond.
//!
//! Silence does not tell a lost engine from a sound one that goes on in a moment. An attempt is given
//! up only once another one can be made; until then its response is still awaited.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};

use super::attempts::Attempts;
use super::request::AdmittedRequest;
use super::{Gateway, versions};
use crate::clock::Clock;
use crate::route::registry::Engine;

/// Time between two tries to make another attempt possible.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an engine counts as unresponsive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It was silent for too long.
    Silent,
    /// It was declared lost.
    Lost,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Lost => "engine-lost",
        }
    }
}

/// An attempt that waits for its engine, and what another attempt needs.
#[derive(Debug)]
pub struct Failover<'a, C: Clock> {
    /// State of the process.
    pub gateway: &'a Rc<Gateway<C>>,
    /// The request.
    pub admitted: &'a AdmittedRequest,
    /// The attempts of the request.
    pub attempts: &'a mut Attempts<C>,
    /// The engine of the attempt.
    pub engine: Engine,
    /// Number of attempts whose request may have run, including this one.
    pub runs: u32,
    /// Time that must be left until the deadline.
    pub time_left_min: Duration,
    /// Whether the other attempt may go to an engine that was tried before, over another connection.
    pub may_return: bool,
    /// Whether a response to the request is at hand, so that an unresponsive engine is not awaited.
    pub has_response: bool,
}

impl<C: Clock> Failover<'_, C> {
    /// Waits until the engine is unresponsive, as told by `silence` or its declared loss, and another
    /// attempt is possible, whose retry is then taken out of the budget. Never returns if the request
    /// may not be sent again and no response is at hand.
    pub async fn wait(mut self, silence: impl Future<Output = ()>) -> Cause {
        if !self.may_repeat() && !self.has_response {
            return std::future::pending().await;
        }
        let mut silence = pin!(silence);
        let mut is_silent = false;
        let mut is_logged = false;
        loop {
            let cause = match is_silent {
                true => Cause::Silent,
                false => self.wait_until_unresponsive(silence.as_mut()).await,
            };
            if self.has_response {
                return cause;
            }
            is_silent = cause == Cause::Silent;
            let Some(obstacle) = self.obstacle() else {
                return cause;
            };
            if !std::mem::replace(&mut is_logged, true) {
                self.log_kept(cause, obstacle);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn may_repeat(&self) -> bool {
        let route = &self.admitted.route;
        route.kind.is_retryable() && self.runs < route.max_attempts
    }

    async fn wait_until_unresponsive(&self, silence: Pin<&mut impl Future<Output = ()>>) -> Cause {
        // A lost engine that is heard again gets another signal.
        let lost = {
            let registry = self.gateway.registry.borrow();
            let state = registry.get(self.engine);
            state.map(|state| state.lost.clone()).unwrap_or_default()
        };
        match select(silence, lost.wait()).await {
            Either::Left(_) => Cause::Silent,
            Either::Right(_) => Cause::Lost,
        }
    }

    /// Returns what prevents another attempt; `None` once a retry is taken for it.
    fn obstacle(&mut self) -> Option<&'static str> {
        let now = self.gateway.clock.now();
        let left = self.admitted.deadline.saturating_duration_since(now);
        if left < self.time_left_min {
            return Some("no-time");
        }
        if !self.has_engine() {
            return Some("no-engine");
        }
        (!self.attempts.may_send_another()).then_some("no-retry")
    }

    fn has_engine(&self) -> bool {
        let mut excluded = Vec::new();
        if !self.may_return {
            excluded.clone_from(&self.attempts.excluded);
            excluded.push(self.engine);
        }
        let need = self.admitted.need(&excluded);
        versions::choose(self.gateway, &need, false).is_some()
    }

    fn log_kept(&self, cause: Cause, obstacle: &'static str) {
        self.gateway.metrics.count_decision("engine_kept", obstacle);
        let registry = self.gateway.registry.borrow();
        let id = registry
            .get(self.engine)
            .map(|state| state.registration.id.as_str());
        self.admitted.trace.log(
            "engine_kept",
            format_args!(
                "engine={} reason={} obstacle={obstacle}",
                id.unwrap_or_default(),
                cause.as_str(),
            ),
        );
    }
}
