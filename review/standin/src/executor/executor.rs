use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::announcer::Announcer;
use super::config::Config;
use super::gangs::Gangs;
use super::life::Life;
use crate::record;

/// Executor, which has one incarnation after the other.
#[derive(Debug)]
pub(crate) struct Executor {
    cfg: Config,
    record: record::Record,
    gangs: Gangs,
    current: Mutex<Option<(Arc<Life>, Arc<Announcer>)>>,
}

impl Executor {
    /// Starts an executor.
    pub(crate) fn start(cfg: Config, record: &record::Record, gangs: &Gangs) -> io::Result<Self> {
        let (record, gangs) = (record.clone(), gangs.clone());
        let executor = Self { cfg, record, gangs, current: Mutex::new(None) };
        executor.restart(&executor.cfg.controls.clone())?;
        Ok(executor)
    }

    pub(crate) fn id(&self) -> &str {
        &self.cfg.id
    }

    /// Starts a new incarnation under the same id, which picks nodes in the order of `controls`.
    pub(crate) fn restart(&self, controls: &[SocketAddr]) -> io::Result<()> {
        let Config { id, address, .. } = &self.cfg;
        let life = Life::start(id, *address, self.record.clone(), self.gangs.clone())?;
        self.record.note(format!("{id} starts, born {}", life.born));
        let cfg = Config { controls: controls.to_vec(), ..self.cfg.clone() };
        let announcer = Announcer::start(cfg, Arc::clone(&life), self.record.clone());
        *self.current.lock().expect("no thread panics") = Some((life, announcer));
        Ok(())
    }

    /// Ends the incarnation without a word, with all that it runs.
    pub(crate) fn crash(&self) {
        self.record.note(format!("{} crashes", self.cfg.id));
        self.end();
    }

    /// Ends the incarnation as planned: says that it drains, then that it ends, first at `first`.
    pub(crate) fn leave(&self, first: SocketAddr, drain: Duration) {
        let announcer = self.announcer();
        self.record.note(format!("{} drains", self.cfg.id));
        let is_acknowledged = announcer.drain(Duration::from_secs(5));
        self.record.note(format!("{} draining acknowledged: {is_acknowledged}", self.cfg.id));
        std::thread::sleep(drain);
        announcer.depart(first);
        self.record.note(format!("{} ends", self.cfg.id));
        self.end();
    }

    /// Returns whether nothing runs here.
    pub(crate) fn is_idle(&self) -> bool {
        let current = self.current.lock().expect("no thread panics");
        let life = current.as_ref().map(|(life, _)| Arc::clone(life));
        life.is_none_or(|life| life.state.lock().expect("no thread panics").is_idle())
    }

    /// Returns the node that leads, as far as the executor was told.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.announcer().leader()
    }

    fn announcer(&self) -> Arc<Announcer> {
        let current = self.current.lock().expect("no thread panics");
        let (_, announcer) = current.as_ref().expect("the executor is up");
        Arc::clone(announcer)
    }

    fn end(&self) {
        let current = self.current.lock().expect("no thread panics").take();
        if let Some((life, _)) = current {
            life.end();
        }
    }
}
