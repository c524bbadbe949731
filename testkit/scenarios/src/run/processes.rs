//! The nodes' processes: what is done to them, and how they end.

use rustix::process::Signal;

use super::{RunError, Runner};
use crate::simulation::{ProcessCommand, StopSignal};
use badgerpost_time::Nanos;

impl Runner {
    pub(super) fn execute(&mut self, command: ProcessCommand) -> Result<(), RunError> {
        match command {
            ProcessCommand::Kill { node } => {
                // Its connections are reset as it goes; they are found so before anything else happens.
                if let Some(mut process) = self.processes[node].take() {
                    process.kill();
                }
                self.simulation.node_stopped(node, true);
                self.collect(node, 0, Nanos::MAX)
            }
            ProcessCommand::Stop { node } => {
                let process = self.processes[node].as_ref();
                process
                    .into_iter()
                    .for_each(|process| process.signal(Signal::TERM));
                self.stopping[node] = true;
                if self.options.real_time {
                    Ok(())
                } else {
                    self.step(node)
                }
            }
            ProcessCommand::Signal { node, signal } => self.signal_stopping(node, signal),
            ProcessCommand::StepClock {
                node,
                ahead_ms: ahead,
            } => match self.wall_clocks.get(node) {
                Some(clock) => Ok(clock.set(ahead)?),
                None => Ok(()),
            },
            ProcessCommand::Start { node } => self.restart_node(node),
            ProcessCommand::Pause { node } => {
                if self.options.real_time {
                    let process = self.processes[node].as_ref();
                    process
                        .into_iter()
                        .for_each(|process| process.signal(Signal::STOP));
                }
                self.paused[node] = true;
                Ok(())
            }
            ProcessCommand::Resume { node } => {
                self.paused[node] = false;
                if self.options.real_time {
                    let process = self.processes[node].as_ref();
                    process
                        .into_iter()
                        .for_each(|process| process.signal(Signal::CONT));
                    return Ok(());
                }
                self.step(node)
            }
        }
    }

    /// A signal to a node that was asked to stop.
    fn signal_stopping(&mut self, node: usize, signal: StopSignal) -> Result<(), RunError> {
        let signal = match signal {
            StopSignal::Hangup => Signal::HUP,
            StopSignal::Interrupt => Signal::INT,
            StopSignal::Terminate => Signal::TERM,
            StopSignal::Kill => {
                if let Some(mut process) = self.processes[node].take() {
                    process.kill();
                }
                self.simulation.node_stopped(node, false);
                return self.collect(node, 0, Nanos::MAX);
            }
        };
        if let Some(process) = &self.processes[node] {
            process.signal(signal);
        }
        Ok(())
    }

    /// A node's process has ended by itself: as it was asked to, or it has crashed.
    pub(super) fn handle_exit(&mut self, node: usize) -> Result<(), RunError> {
        let Some(mut process) = self.processes[node].take() else {
            return Ok(());
        };
        let status = process.wait();
        if self.stopping[node] && status.is_some_and(|status| status.success()) {
            self.simulation.node_stopped(node, false);
            return self.collect(node, 0, Nanos::MAX);
        }
        Err(RunError::Crashed {
            name: self.plan.scenario.spec.nodes[node].name.get_ref().clone(),
            status: status.map_or_else(|| "it still runs".to_owned(), |status| status.to_string()),
            at: self.simulation.now(),
            log: process.log(),
        })
    }

    /// Finds nodes that have crashed and were not looked at since.
    pub(super) fn check_exits(&mut self) -> Result<(), RunError> {
        for node in 0..self.processes.len() {
            if self.processes[node]
                .as_mut()
                .is_some_and(|process| process.exit_status().is_some())
            {
                self.handle_exit(node)?;
            }
        }
        Ok(())
    }
}
