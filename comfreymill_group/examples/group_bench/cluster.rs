use crate::member::{BATCH_COMMANDS, Event, Member, Queues, Shared};
use crate::processor;
use comfreymill_group::id;
use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{fs, path, thread};

const COMMAND_BYTES: u64 = 200;
const RUN: Duration = Duration::from_secs(4);
const CONSTANT_LOAD_RUN: Duration = Duration::from_secs(10);
const LEADER_STOPS: usize = 30;

/// Members of one group and their threads.
struct Cluster {
    folder: path::PathBuf,
    shared: Arc<Shared>,
    queues: Queues,
    members: Vec<(id::VoterId, Option<thread::JoinHandle<()>>)>,
    relays: Vec<mpsc::Sender<mpsc::Sender<Event>>>,
}

impl Cluster {
    fn start(folder: &path::Path, voters: u64, sync_delay: Duration) -> io::Result<Self> {
        let mut queues = Queues::new();
        let mut receivers = Vec::new();
        let mut relays = Vec::new();
        for voter in (1..=voters).map(id::VoterId::new) {
            let (tx, rx) = mpsc::channel();
            relays.push(spawn_relay(rx));
            queues.insert(voter, tx);
            receivers.push(voter);
        }
        let shared = Arc::new(Shared::default());
        shared.command_bytes.store(COMMAND_BYTES, Ordering::Relaxed);
        shared.sync_delay_micros.store(sync_delay.as_micros() as u64, Ordering::Relaxed);
        let members = receivers.into_iter().map(|voter| (voter, None)).collect();
        let folder = folder.to_owned();
        let mut cluster = Self { folder, shared, queues, members, relays };
        for position in 0..cluster.members.len() {
            cluster.start_member(position)?;
        }
        Ok(cluster)
    }

    fn start_member(&mut self, position: usize) -> io::Result<()> {
        let (tx, rx) = mpsc::channel();
        self.relays[position].send(tx).ok();
        let voter = self.members[position].0;
        let folder = self.folder.join(voter.to_string());
        let handle = Member::spawn(voter, &folder, &self.queues, rx, &self.shared)?;
        self.members[position].1 = Some(handle);
        Ok(())
    }

    fn stop_member(&mut self, position: usize) {
        let voter = self.members[position].0;
        self.queues[&voter].send(Event::Stop).ok();
        if let Some(handle) = self.members[position].1.take() {
            handle.join().ok();
        }
    }

    /// Waits for a serving leader and returns its position.
    fn leader(&self) -> usize {
        loop {
            let leader = self.shared.leader.load(Ordering::Relaxed);
            let position = self.members.iter().position(|(voter, _)| voter.get() == leader);
            if let Some(position) = position {
                return position;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn committed(&self) -> u64 {
        self.shared.committed.load(Ordering::Relaxed)
    }

    fn set_window(&self, window: u64) {
        self.shared.window.store(window, Ordering::Relaxed);
    }

    fn stop(mut self) -> io::Result<()> {
        for position in 0..self.members.len() {
            self.stop_member(position);
        }
        fs::remove_dir_all(&self.folder)
    }
}

/// Forwards events to the running incarnation of a member; events are dropped while there is none.
fn spawn_relay(rx: mpsc::Receiver<Event>) -> mpsc::Sender<mpsc::Sender<Event>> {
    let (tx, targets) = mpsc::channel::<mpsc::Sender<Event>>();
    thread::spawn(move || {
        let mut target: Option<mpsc::Sender<Event>> = None;
        while let Ok(event) = rx.recv() {
            target = targets.try_iter().last().or(target);
            if let Some(target) = &target {
                target.send(event).ok();
            }
        }
    });
    tx
}

/// Measures commits per second with different numbers of commands in flight.
pub(crate) fn measure_commits<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for voters in [1, 3, 5] {
        let cluster = Cluster::start(&folder.join("commits"), voters, Duration::ZERO)?;
        cluster.shared.takes_snapshots.store(true, Ordering::Relaxed);
        for window in [1, 16, 256, 2_048] {
            cluster.leader();
            cluster.set_window(window);
            thread::sleep(Duration::from_millis(300));
            let (start, before) = (Instant::now(), cluster.committed());
            let sent_before = cluster.shared.sent_bytes.load(Ordering::Relaxed);
            thread::sleep(RUN);
            let count = cluster.committed() - before;
            let sent = cluster.shared.sent_bytes.load(Ordering::Relaxed) - sent_before;
            let rate = count as f64 / start.elapsed().as_secs_f64();
            let files = folder_bytes(&cluster.folder.join("1"))?;
            writeln!(
                out,
                "commits: {voters} voters, {window} in flight, {COMMAND_BYTES} bytes each: \
                 {rate:.0}/s, {} bytes sent per commit, files of a replica {} KB",
                sent / count.max(1),
                files / 1024,
            )?;
        }
        cluster.stop()?;
    }
    Ok(())
}

/// Measures commits per second when each sync takes 5 ms longer.
pub(crate) fn measure_slow_syncs<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let sync_delay = Duration::from_millis(5);
    let cluster = Cluster::start(&folder.join("slow"), 3, sync_delay)?;
    cluster.shared.takes_snapshots.store(true, Ordering::Relaxed);
    for window in [1, 16, 256] {
        cluster.leader();
        cluster.set_window(window);
        thread::sleep(Duration::from_millis(300));
        let (start, before) = (Instant::now(), cluster.committed());
        thread::sleep(RUN);
        let rate = (cluster.committed() - before) as f64 / start.elapsed().as_secs_f64();
        writeln!(out, "slow syncs: 3 voters, 5 ms a sync, {window} in flight: {rate:.0}/s")?;
    }
    cluster.stop()
}

/// Measures the CPU time of the leader and a follower under a constant load.
pub(crate) fn measure_constant_load<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let cluster = Cluster::start(&folder.join("constant-load"), 3, Duration::ZERO)?;
    let leader = cluster.leader();
    for batches in [0, 57] {
        cluster.shared.commands_per_second.store(batches * BATCH_COMMANDS, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
        let before = processor::ticks_by_member()?;
        let (start, committed) = (Instant::now(), cluster.committed());
        thread::sleep(CONSTANT_LOAD_RUN);
        let elapsed = start.elapsed().as_secs_f64();
        let rate = (cluster.committed() - committed) as f64 / elapsed;
        let after = processor::ticks_by_member()?;
        let percent = |position: usize| {
            let voter = cluster.members[position].0.get();
            let ticks = after.get(&voter).unwrap_or(&0) - before.get(&voter).unwrap_or(&0);
            ticks as f64 / processor::TICKS_PER_SECOND / elapsed * 100.0
        };
        writeln!(
            out,
            "constant load: 3 voters, {batches} batches of {BATCH_COMMANDS} entries a second \
             ({rate:.0} entries/s): \
             leader {:.2}% of a core, follower {:.2}%",
            percent(leader),
            percent((leader + 1) % 3),
        )?;
    }
    cluster.stop()
}

/// Measures the time from the end of the leader's thread to the next commit.
pub(crate) fn measure_failover<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for voters in [3, 5] {
        let mut cluster = Cluster::start(&folder.join("failover"), voters, Duration::ZERO)?;
        cluster.set_window(1);
        let mut times_ms = Vec::new();
        for _ in 0..LEADER_STOPS {
            let leader = cluster.leader();
            thread::sleep(Duration::from_millis(100));
            let start = Instant::now();
            cluster.stop_member(leader);
            let before = cluster.committed();
            while cluster.committed() == before {
                thread::sleep(Duration::from_millis(1));
            }
            times_ms.push(start.elapsed().as_millis());
            cluster.start_member(leader)?;
            thread::sleep(Duration::from_millis(500));
        }
        times_ms.sort_unstable();
        let (median, worst) = (times_ms[LEADER_STOPS / 2], times_ms[LEADER_STOPS - 1]);
        writeln!(
            out,
            "failover: {voters} voters, {LEADER_STOPS} leaders stopped: \
             next commit after {median} ms median, \
             {worst} ms worst",
        )?;
        cluster.stop()?;
    }
    Ok(())
}

fn folder_bytes(folder: &path::Path) -> io::Result<u64> {
    let mut bytes = 0;
    for entry in fs::read_dir(folder)? {
        bytes += entry?.metadata().map_or(0, |metadata| metadata.len());
    }
    Ok(bytes)
}
