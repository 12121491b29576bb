use std::future::Future;
use std::thread;

/// Handle of a thread with its own runtime. Dropping it stops and joins the thread.
#[derive(Debug)]
pub(super) struct Running {
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts a thread that runs the future returned by `task`.
    pub(super) fn start<T, F>(name: &str, task: T) -> Self
    where
        T: FnOnce() -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let (stop, stopped) = flume::bounded::<()>(0);
        let run = move || {
            let served = comfreymill_node::runtime::block_on(async move {
                monoio::select! {
                    () = task() => {}
                    _ = stopped.recv_async() => {}
                }
            });
            served.expect("a runtime can be created");
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        Self { stop: Some(stop), thread: Some(thread.expect("a thread can be started")) }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}
