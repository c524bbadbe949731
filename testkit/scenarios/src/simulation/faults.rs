//! Begins and ends the planned faults of nodes, servers, discovery and network links.

use std::io;

use badgerpost_fakes::discovery::{Mode, State};
use badgerpost_time::{MILLISECOND, Nanos};

use super::events::{ProcessCommand, ScheduledEvent, ServerEvent, StepOutcome};
use super::in_flight::LinkImpairment;
use super::state::Simulation;
use crate::scenario::{FaultKind, LinkFault, LinkFaultKind};

impl Simulation {
    /// Begins or ends a fault of the plan.
    pub(super) fn change_fault(&mut self, number: usize, begins: bool) -> io::Result<StepOutcome> {
        let planned = self.plan.faults[number];
        let mut outcome = StepOutcome::default();
        if let FaultKind::Link(link_fault) = planned.kind {
            self.change_link_fault(number, link_fault, begins);
            return Ok(outcome);
        }
        for target in planned.targets(&self.plan.scenario.spec, self.plan.seed) {
            let target = target.get();
            match planned.kind {
                FaultKind::KillNode | FaultKind::StopNode | FaultKind::PauseNode => {
                    let duration = planned.duration.unwrap_or_default();
                    let command = self.change_node_fault(planned.kind, target, begins, duration);
                    outcome.commands.extend(command);
                }
                FaultKind::Drain | FaultKind::Remove | FaultKind::Discovery(_) => {
                    self.change_discovery_fault(planned.kind, target, begins);
                }
                FaultKind::KillServer if begins => self.kill_server(target)?,
                FaultKind::KillServer => self.restart_server(target)?,
                fault if begins => self.begin_server_fault(target, fault, planned.permille)?,
                fault => self.end_server_fault(target, fault, planned.permille)?,
            }
        }
        Ok(outcome)
    }

    fn change_link_fault(&mut self, fault: usize, link_fault: LinkFault, begins: bool) {
        if begins {
            let mut nodes = vec![false; self.nodes.len()];
            for target in self.plan.faults[fault].targets(&self.plan.scenario.spec, self.plan.seed)
            {
                nodes[target.node().get()] = true;
            }
            let impairment = LinkImpairment {
                fault,
                nodes,
                link_fault,
            };
            if link_fault.kind == LinkFaultKind::Reset {
                self.reset_links(&impairment);
            }
            self.impairments.push(impairment);
        } else {
            self.impairments.retain(|active| active.fault != fault);
        }
        self.release_held_messages();
    }

    /// The command for the node's process; none if the fault does not apply to the node's current state.
    fn change_node_fault(
        &mut self,
        fault: FaultKind,
        node: usize,
        begins: bool,
        duration: Nanos,
    ) -> Option<ProcessCommand> {
        let is_up = self.nodes[node].is_up;
        match (fault, begins) {
            (FaultKind::KillNode, true) if is_up => Some(ProcessCommand::Kill { node }),
            (FaultKind::StopNode, true) if is_up => {
                self.plan_shutdown(node);
                Some(ProcessCommand::Stop { node })
            }
            (FaultKind::KillNode | FaultKind::StopNode, false) if !is_up => {
                Some(ProcessCommand::Start { node })
            }
            (FaultKind::PauseNode, true) if is_up => {
                self.nodes[node].is_paused = true;
                self.nodes[node].paused_until = self.now + duration;
                if self.plan.behaviour.strict {
                    self.hold_up_open_requests(node, duration);
                } else {
                    self.excuse_open_requests(node);
                }
                Some(ProcessCommand::Pause { node })
            }
            (FaultKind::PauseNode, false) if self.nodes[node].is_paused => {
                self.nodes[node].is_paused = false;
                Some(ProcessCommand::Resume { node })
            }
            _ => None,
        }
    }

    fn change_discovery_fault(&mut self, fault: FaultKind, server: usize, begins: bool) {
        if let FaultKind::Discovery(mode) = fault {
            self.discovery
                .set_mode(if begins { mode } else { Mode::Good });
            self.mark_discovery_reachable();
            self.notify_watchers();
            return;
        }
        let state = match fault {
            _ if !begins => State::Ready,
            FaultKind::Drain => State::Terminating,
            _ => State::Gone,
        };
        self.schedule_endpoint_change(server, state);
    }

    /// When discovery is notified of a change that happens now.
    pub(super) fn discovery_notified_at(&self) -> Nanos {
        self.now + self.plan.scenario.spec.discovery.propagation_delay_ms * MILLISECOND
    }

    fn schedule_endpoint_change(&mut self, server: usize, state: State) {
        let change = ServerEvent::EndpointChange {
            server,
            state,
            replaces_entry: false,
        };
        self.schedule(self.discovery_notified_at(), ScheduledEvent::Server(change));
    }

    fn kill_server(&mut self, server: usize) -> io::Result<()> {
        if self.servers[server].is_up {
            self.stop_server(server)?;
            self.schedule_endpoint_change(server, State::Gone);
        }
        Ok(())
    }

    fn restart_server(&mut self, server: usize) -> io::Result<()> {
        if !self.servers[server].is_up {
            self.start_server(server)?;
        }
        Ok(())
    }

    fn begin_server_fault(
        &mut self,
        server: usize,
        fault: FaultKind,
        permille: u16,
    ) -> io::Result<()> {
        let server_state = &mut self.servers[server];
        if fault == FaultKind::RefuseConnections && server_state.is_up {
            self.net.stop_listening(server_state.listener)?;
        }
        server_state.faults.push((fault, permille));
        server_state.update_slowdown();
        Ok(())
    }

    fn end_server_fault(
        &mut self,
        server: usize,
        fault: FaultKind,
        permille: u16,
    ) -> io::Result<()> {
        let server_state = &mut self.servers[server];
        let position = server_state
            .faults
            .iter()
            .position(|active| *active == (fault, permille));
        if let Some(position) = position {
            server_state.faults.remove(position);
        }
        server_state.update_slowdown();
        let refuses = server_state.has(FaultKind::RefuseConnections, 0);
        if fault == FaultKind::RefuseConnections && server_state.is_up && !refuses {
            self.net.resume_listening(server_state.listener)?;
        }
        if fault == FaultKind::PauseServer {
            let resume = ServerEvent::Resume { server };
            self.schedule(self.now, ScheduledEvent::Server(resume));
        }
        Ok(())
    }
}
