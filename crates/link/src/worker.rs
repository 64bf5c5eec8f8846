//! A thread for calls that block, such as those to a file system, so that a
//! slow disk does not stall the runtime.

use std::{sync::mpsc, thread, time::Duration};

type Operation<T> = Box<dyn FnOnce(&mut T) + Send>;

/// How often the result of an operation is polled: other threads do not wake
/// the runtime.
const POLL_PERIOD: Duration = Duration::from_millis(1);

/// A thread that owns a value and runs operations on it, one after the other.
#[derive(Debug)]
pub struct Worker<T> {
    operations: mpsc::Sender<Operation<T>>,
}

/// The thread has ended, since an operation panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the thread for blocking calls has ended")]
pub struct Stopped;

impl<T: Send + 'static> Worker<T> {
    /// Starts a thread that owns `value`. It ends once the worker is dropped.
    pub fn start(mut value: T) -> Self {
        let (operations, queue) = mpsc::channel::<Operation<T>>();
        thread::spawn(move || {
            for operation in queue {
                operation(&mut value);
            }
        });
        Self { operations }
    }

    /// Runs `operation` on the thread and returns its result. The operation is
    /// run also if this future is dropped.
    ///
    /// # Errors
    ///
    /// [`Stopped`] if this operation or one before it panicked.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_link::{runtime, worker::Worker};
    ///
    /// let worker = Worker::start(vec![1]);
    /// let length = runtime::run(worker.run(|list| {
    ///     list.push(2);
    ///     list.len()
    /// }))?;
    /// assert_eq!(length, Ok(2));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn run<R: Send + 'static>(
        &self,
        operation: impl FnOnce(&mut T) -> R + Send + 'static,
    ) -> Result<R, Stopped> {
        let (sender, receiver) = mpsc::channel();
        let operation: Operation<T> = Box::new(move |value| {
            // The receiver is dropped if the caller was cancelled.
            let _ = sender.send(operation(value));
        });
        self.operations.send(operation).map_err(|_| Stopped)?;
        loop {
            match receiver.try_recv() {
                Ok(result) => return Ok(result),
                Err(mpsc::TryRecvError::Disconnected) => return Err(Stopped),
                Err(mpsc::TryRecvError::Empty) => monoio::time::sleep(POLL_PERIOD).await,
            }
        }
    }
}
