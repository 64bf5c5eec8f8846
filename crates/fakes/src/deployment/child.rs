//! A child process that is killed on drop.

use std::{
    fs::{File, OpenOptions},
    path::Path,
    process::{Command, Stdio},
};

use crate::Error;

/// A child process, or none; it is killed on drop.
#[derive(Debug)]
pub struct Child(Option<std::process::Child>);

impl Child {
    /// Returns a value without a process.
    pub fn none() -> Self {
        Self(None)
    }

    /// Starts `program part ARGUMENTS` and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn spawn_part(program: &Path, arguments: &[String], log: &Path) -> Result<Self, Error> {
        let mut command = Command::new(program);
        command.arg("part").args(arguments);
        Self::spawn(command, log)
    }

    /// Starts `command` and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn spawn(mut command: Command, log: &Path) -> Result<Self, Error> {
        let log: File = OpenOptions::new().create(true).append(true).open(log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self(Some(child)))
    }

    /// Returns the id of the process.
    pub fn id(&self) -> Option<u32> {
        self.0.as_ref().map(std::process::Child::id)
    }

    /// Sends `signal`, such as `TERM` or `STOP`.
    ///
    /// # Errors
    ///
    /// When there is no process, or the program `kill` fails.
    pub fn signal(&self, signal: &str) -> Result<(), Error> {
        let id = self
            .id()
            .ok_or_else(|| Error::Deployment("the process is not running".into()))?;
        let status = Command::new("kill")
            .args([format!("-{signal}"), id.to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(Error::Deployment(format!(
                "cannot send signal {signal} to process {id}"
            )))
        }
    }

    /// Kills the process, if any, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            // `kill` fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit code if the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.0.as_mut()?.try_wait().ok()??;
        status.code()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
