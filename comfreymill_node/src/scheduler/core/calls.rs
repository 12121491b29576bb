use bytes::Bytes;
use comfreymill_jobs::id;
use comfreymill_jobs::job;
use comfreymill_jobs::routes;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::core::Core;
use super::leadership;
use super::waiter::{ReplyTo, Waiter};
use crate::clock;
use crate::jobcall::{Call, Reply};

/// # Calls
impl Core {
    /// Returns whether this process may answer calls for the group; the next leader may otherwise.
    pub(super) fn takes_calls(&self, now: time::Monotonic) -> bool {
        let is_leading =
            self.leadership.as_ref().is_some_and(|leadership| !leadership.scheduler.is_fenced());
        is_leading && self.is_serving(now) && !self.process.is_draining
    }

    pub(super) fn handle_call(&mut self, now: time::Monotonic, call: Call, reply: ReplyTo) {
        if !self.takes_calls(now) {
            reply.send(&Reply::NotLeader);
            return;
        }
        match call {
            Call::Submit { host, path, spec } => self.submit(&host, &path, *spec, reply),
            Call::Show { host, path } => reply.send(&self.show_job(&host, &path)),
            Call::Cancel { host, path } => self.cancel(&host, &path, reply),
            Call::Announce(announcement) => {
                let heard = Reply::Heard(Some(self.cfg.control));
                let Some(leadership) = &mut self.leadership else { return };
                match leadership.scheduler.announced(now, *announcement) {
                    scheduler::Acknowledgement::Now => reply.send(&heard),
                    scheduler::Acknowledgement::Committed(command) => {
                        self.queue_command(command, reply, heard);
                    }
                    scheduler::Acknowledgement::OnceAdded => reply.send(&Reply::NotLeader),
                }
            }
            Call::Depart(departure) => {
                let Some(leadership) = &mut self.leadership else { return };
                match leadership.scheduler.departed(now, &departure) {
                    Some(command) => self.queue_command(command, reply, Reply::Done),
                    None => reply.send(&Reply::Done),
                }
            }
            Call::PutRoutes { table, document } => self.put_routes(*table, document, reply),
            Call::GetRoutes => reply.send(&leadership::routes_reply(&self.state)),
            Call::Evacuate(order) => self.evacuate(order, reply),
            Call::WithdrawEvacuation(order) => self.withdraw_evacuation(order, reply),
            Call::ShowEvacuations => reply.send(&self.show_evacuations()),
        }
    }

    /// Returns the queue that matches a request's host and path, and the rest of the path.
    pub(super) fn find_queue<'p>(
        &self,
        host: &str,
        path: &'p str,
    ) -> Result<(&routes::Queue, &'p str), Reply> {
        let routes = self.state.get_routes().ok_or(Reply::NoRoutes)?;
        routes.table.find(host, path).ok_or(Reply::NoSuchQueue)
    }

    fn submit(&mut self, host: &str, path: &str, spec: job::JobSpec, reply: ReplyTo) {
        let (queue, key) = match self.find_queue(host, path) {
            Ok(found) => found,
            Err(refusal) => return reply.send(&refusal),
        };
        let key: id::JobKey = match key.parse() {
            Ok(key) => key,
            Err(error) => return reply.send(&Reply::Malformed(error.to_string())),
        };
        if self.state.get_jobs().contains_key(&key) {
            return reply.send(&Reply::Done);
        }
        if self.are_routes_changing() {
            // The job would be stored under the queue's name in the version before.
            return reply.send(&Reply::NotLeader);
        }
        let submission = state::Submission {
            job: key,
            queue: queue.name.clone(),
            max_attempts: queue.max_attempts,
            spec,
        };
        self.submitting.insert(key);
        let unix_ms = u64::try_from(clock::since_1970().as_millis()).unwrap_or(u64::MAX);
        let command = state::Command::SubmitAt { submission: Box::new(submission), unix_ms };
        self.queue_command(command, reply, Reply::Done);
    }

    fn cancel(&mut self, host: &str, path: &str, reply: ReplyTo) {
        let key = match self.find_queue(host, path) {
            Ok((_, key)) => key,
            Err(refusal) => return reply.send(&refusal),
        };
        match key.parse::<id::JobKey>() {
            Ok(job) => self.queue_command(state::Command::Cancel { job }, reply, Reply::Done),
            Err(_) => reply.send(&Reply::NoSuchJob),
        }
    }

    fn show_job(&self, host: &str, path: &str) -> Reply {
        let (queue, key) = match self.find_queue(host, path) {
            Ok(found) => found,
            Err(refusal) => return refusal,
        };
        let Some(leadership) = &self.leadership else { return Reply::NotLeader };
        if key.is_empty() {
            let waiting = leadership.scheduler.count_waiting_jobs(&queue.name);
            return Reply::Waiting(u64::try_from(waiting).unwrap_or(u64::MAX));
        }
        let key: Option<id::JobKey> = key.parse().ok();
        let known = key.and_then(|key| Some((key, self.state.get_jobs().get(&key)?)));
        match known {
            Some((key, job)) => {
                Reply::Job(leadership::phase(job, leadership.scheduler.has_started(key)))
            }
            None => Reply::NoSuchJob,
        }
    }

    fn put_routes(&mut self, table: routes::RouteTable, document: Bytes, reply: ReplyTo) {
        let current = self.state.get_routes().map(|routes| routes.table.version);
        log::info!(target: "routes", version = table.version, in_force:? = current; "routes are received");
        if current.is_some_and(|current| table.version <= current) {
            return reply.send(&Reply::Done);
        }
        let table = Box::new(table.with_unique_names());
        self.queue_command(state::Command::SetRoutes { table, document }, reply, Reply::Done);
    }

    /// Returns whether a version of the routes is proposed and not applied yet.
    fn are_routes_changing(&self) -> bool {
        self.routes_proposed_at > self.state.get_applied()
            || self.commands.iter().any(|c| matches!(c, state::Command::SetRoutes { .. }))
    }

    /// Queues a command for the next proposal; `done` is sent once the command is committed.
    pub(super) fn queue_command(&mut self, command: state::Command, reply: ReplyTo, done: Reply) {
        self.waiters.push(Waiter { position: self.commands.len(), reply, done });
        self.commands.push(command);
    }
}
