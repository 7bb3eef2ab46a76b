//! What befalls instances.

use std::time::Duration;

use super::evidence::KEPT_EVIDENCE;
use super::{Event, SEEDS, World};
use crate::instance::Instance;
use crate::schedule::FaultKind;

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.schedule.faults[number].clone();
        let now = self.now;
        let one = &mut self.instances[fault.instance];
        one.harmed_at = Some(now);
        match fault.kind {
            FaultKind::CutOff => one.cut_off = true,
            FaultKind::Slow => one.slow = true,
            FaultKind::Killed => {
                *one = Instance::new(fault.instance);
                one.up = false;
                one.harmed_at = Some(now);
                let seed = fault.instance;
                if seed < SEEDS {
                    self.published[seed].clear();
                    for other in self
                        .instances
                        .iter_mut()
                        .skip(SEEDS)
                        .skip(seed)
                        .step_by(SEEDS)
                    {
                        other.known = 0;
                    }
                }
                let requests: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, one)| one.instance == fault.instance)
                    .map(|(number, _)| *number)
                    .collect();
                for request in requests {
                    self.requests.remove(&request);
                }
            }
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = self.schedule.faults[number].clone();
        let one = &mut self.instances[fault.instance];
        one.harmed_at = Some(self.now);
        one.cut_off = false;
        one.slow = false;
        one.up = true;
        if fault.instance >= SEEDS {
            self.after(Duration::from_millis(50), Event::Poll(fault.instance));
            return;
        }
        // A seed learns from another one what it has missed, and its pollers from it.
        let other = (fault.instance + 1) % SEEDS;
        let known = self.published[other].clone();
        let oldest = known.len().saturating_sub(KEPT_EVIDENCE);
        let fresh: Vec<_> = known.into_iter().skip(oldest).collect();
        let fresh: Vec<_> = fresh
            .into_iter()
            .filter(|one| self.instances[fault.instance].record(one))
            .collect();
        self.publish(fault.instance, fresh);
    }
}
