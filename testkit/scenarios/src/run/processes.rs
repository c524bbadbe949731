//! Carries out commands for the nodes' processes and handles exits.

use rustix::process::Signal;

use super::{RunError, Runner};
use crate::simulation::{ProcessCommand, StopSignal};
use badgerpost_time::Nanos;

impl Runner {
    /// Carries out a command of the simulation.
    pub(super) fn execute(&mut self, command: ProcessCommand) -> Result<(), RunError> {
        match command {
            ProcessCommand::Kill { node } => {
                // The kill resets the node's connections; the resets are collected before any other event.
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
            ProcessCommand::StepClock { node, ahead_ms } => match self.wall_clocks.get(node) {
                Some(clock) => Ok(clock.set(ahead_ms)?),
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

    /// Sends a further signal to a node that is shutting down.
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

    /// Handles an exit that is not a kill. An exit of a node without SIGTERM, or with a failure status, is a crash.
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
            status: status.map_or_else(
                || "the control connection closed, but the process did not exit".to_owned(),
                |status| status.to_string(),
            ),
            at: self.simulation.now(),
            log: process.log(),
        })
    }

    /// Checks all nodes for exits that have not been handled yet.
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
