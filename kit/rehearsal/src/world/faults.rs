//! The faults: what goes wrong, with whom, and how it ends.

use std::io;

use badgerpost_standins::discovery::{Mode, State};

use super::stage::*;
use crate::MS;
use crate::scene::Trouble;

impl World {
    pub(super) fn fault(&mut self, number: usize, begins: bool) -> io::Result<Fired> {
        let planned = self.plan.faults[number];
        let mut fired = Fired::default();
        for whom in planned.strikes(&self.plan.scene.scene, self.plan.seed) {
            fired.orders.extend(self.strike(planned.trouble, whom, begins)?);
        }
        Ok(fired)
    }

    /// A fault begins or ends with one of those whom it strikes.
    fn strike(&mut self, trouble: Trouble, whom: usize, begins: bool) -> io::Result<Option<Order>> {
        let order = |order| Ok(Some(order));
        let notice = self.now + self.plan.scene.scene.discovery.notice_ms * MS;
        match (trouble, begins) {
            (Trouble::Drain | Trouble::Gone, _) => {
                let state = match trouble {
                    _ if !begins => State::Ready,
                    Trouble::Drain => State::Terminating,
                    _ => State::Gone,
                };
                self.at(notice, Todo::List(whom, state, false));
            }
            (Trouble::KillServer, true) if self.sites[whom].up => {
                self.shut(whom)?;
                self.at(notice, Todo::List(whom, State::Gone, false));
            }
            (Trouble::KillServer, false) if !self.sites[whom].up => self.boot(whom)?,
            (Trouble::KillServer, _) => {}
            (Trouble::List(mode), _) => {
                self.list.set_mode(if begins { mode } else { Mode::Good });
                self.news();
            }
            (Trouble::KillNode, true) if self.nodes[whom].up => return order(Order::Kill(whom)),
            (Trouble::StopNode, true) if self.nodes[whom].up => return order(Order::Stop(whom)),
            (Trouble::KillNode | Trouble::StopNode, false) if !self.nodes[whom].up => {
                return order(Order::Start(whom));
            }
            (Trouble::PauseNode, true) if self.nodes[whom].up => {
                self.nodes[whom].paused = true;
                self.excuse(whom);
                return order(Order::Pause(whom));
            }
            (Trouble::PauseNode, false) if self.nodes[whom].paused => {
                self.nodes[whom].paused = false;
                return order(Order::Resume(whom));
            }
            (Trouble::KillNode | Trouble::StopNode | Trouble::PauseNode, _) => {}
            (_, true) => {
                if trouble == Trouble::Refuse && self.sites[whom].up {
                    self.net.refuse(self.sites[whom].listener)?;
                }
                self.sites[whom].troubles.push(trouble);
            }
            (_, false) => {
                let site = &mut self.sites[whom];
                if let Some(at) = site.troubles.iter().position(|active| *active == trouble) {
                    site.troubles.remove(at);
                }
                if trouble == Trouble::Refuse && site.up && !site.troubles.contains(&Trouble::Refuse) {
                    self.net.accept_again(site.listener)?;
                }
                if trouble == Trouble::PauseServer {
                    self.at(self.now, Todo::Resume(whom));
                }
            }
        }
        Ok(None)
    }
}
