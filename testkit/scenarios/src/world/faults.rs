//! The faults: what goes wrong, with whom, and how it ends.

use std::io;

use badgerpost_fakes::discovery::{Mode, State};

use super::links::BadLink;
use super::stage::{Fired, Order, Todo, World};
use crate::scenario::{FaultKind, LinkFault, LinkFaultKind};
use badgerpost_time::MILLISECOND;

impl World {
    pub(super) fn fault(&mut self, number: usize, begins: bool) -> io::Result<Fired> {
        let planned = self.plan.faults[number];
        let mut fired = Fired::default();
        if let FaultKind::Link(trouble) = planned.kind {
            self.link_fault(number, trouble, begins);
            return Ok(fired);
        }
        for target in planned.targets(&self.plan.scenario.spec, self.plan.seed) {
            fired.orders.extend(self.strike(
                planned.kind,
                planned.permille,
                target.get(),
                begins,
            )?);
        }
        Ok(fired)
    }

    /// Links become bad, or good again.
    fn link_fault(&mut self, fault: usize, trouble: LinkFault, begins: bool) {
        if begins {
            let mut nodes = vec![false; self.nodes.len()];
            for target in self.plan.faults[fault].targets(&self.plan.scenario.spec, self.plan.seed)
            {
                nodes[target.node().get()] = true;
            }
            let bad = BadLink {
                fault,
                nodes,
                trouble,
            };
            if trouble.kind == LinkFaultKind::Reset {
                self.reset_links(&bad);
            }
            self.bad_links.push(bad);
        } else {
            self.bad_links.retain(|bad| bad.fault != fault);
        }
        self.links_changed();
    }

    /// A fault begins or ends with one of those whom it strikes.
    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    fn strike(
        &mut self,
        trouble: FaultKind,
        permille: u16,
        whom: usize,
        begins: bool,
    ) -> io::Result<Option<Order>> {
        let order = |order| Ok(Some(order));
        let notice =
            self.now + self.plan.scenario.spec.discovery.propagation_delay_ms * MILLISECOND;
        match (trouble, begins) {
            (FaultKind::Drain | FaultKind::Remove, _) => {
                let state = match trouble {
                    _ if !begins => State::Ready,
                    FaultKind::Drain => State::Terminating,
                    _ => State::Gone,
                };
                self.at(notice, Todo::List(whom, state, false));
            }
            (FaultKind::KillServer, true) if self.sites[whom].up => {
                self.shut(whom)?;
                self.at(notice, Todo::List(whom, State::Gone, false));
            }
            (FaultKind::KillServer, false) if !self.sites[whom].up => self.boot(whom)?,
            (FaultKind::KillServer, _) => {}
            (FaultKind::Discovery(mode), _) => {
                self.list.set_mode(if begins { mode } else { Mode::Good });
                self.list_is_back();
                self.news();
            }
            (FaultKind::KillNode, true) if self.nodes[whom].up => return order(Order::Kill(whom)),
            (FaultKind::StopNode, true) if self.nodes[whom].up => {
                self.plan_kill(whom);
                return order(Order::Stop(whom));
            }
            (FaultKind::KillNode | FaultKind::StopNode, false) if !self.nodes[whom].up => {
                return order(Order::Start(whom));
            }
            (FaultKind::PauseNode, true) if self.nodes[whom].up => {
                self.nodes[whom].paused = true;
                self.excuse(whom);
                return order(Order::Pause(whom));
            }
            (FaultKind::PauseNode, false) if self.nodes[whom].paused => {
                self.nodes[whom].paused = false;
                return order(Order::Resume(whom));
            }
            (FaultKind::KillNode | FaultKind::StopNode | FaultKind::PauseNode, _) => {}
            (_, true) => {
                if trouble == FaultKind::RefuseConnections && self.sites[whom].up {
                    self.net.stop_listening(self.sites[whom].listener)?;
                }
                self.sites[whom].troubles.push((trouble, permille));
                self.sites[whom].set_pace();
            }
            (_, false) => {
                let site = &mut self.sites[whom];
                if let Some(at) = site
                    .troubles
                    .iter()
                    .position(|active| *active == (trouble, permille))
                {
                    site.troubles.remove(at);
                }
                site.set_pace();
                if trouble == FaultKind::RefuseConnections
                    && site.up
                    && !site.has(FaultKind::RefuseConnections, 0)
                {
                    self.net.resume_listening(site.listener)?;
                }
                if trouble == FaultKind::PauseServer {
                    self.at(self.now, Todo::Resume(whom));
                }
            }
        }
        Ok(None)
    }
}
