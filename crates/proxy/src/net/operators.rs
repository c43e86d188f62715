//! The local socket for operators. A connection carries one command, ended by a line feed, and one text as the answer,
//! and is then closed.

use super::{Key, Poll};
use calloop::RegistrationToken;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Maximum number of connected operators; further connections are closed immediately.
const MAX_OPERATORS: usize = 4;
/// The longest command.
const MAX_COMMAND_BYTES: usize = 256;

struct Operator {
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    command: Vec<u8>,
    /// The answer, and the number of its bytes that have been written.
    answer: Option<(Vec<u8>, usize)>,
}

pub(crate) struct Operators {
    path: PathBuf,
    listener: UnixListener,
    connections: BTreeMap<u64, Operator>,
}

impl Operators {
    pub(crate) fn listen(path: &Path, poll: &Poll) -> io::Result<Operators> {
        // A killed process leaves its socket behind. A file of any other type must not be removed.
        if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        listener.set_nonblocking(true)?;
        poll.watch(listener.try_clone()?, Key::Operators)?;
        Ok(Operators {
            path: path.to_path_buf(),
            listener,
            connections: BTreeMap::new(),
        })
    }

    pub(crate) fn accept(&mut self, poll: &mut Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_OPERATORS || stream.set_nonblocking(true).is_err() {
                continue;
            }
            let (number, stream) = (poll.next_number(), Rc::new(stream));
            if let Ok(token) = poll.watch(Rc::clone(&stream), Key::Operator(number)) {
                let operator = Operator {
                    stream,
                    token,
                    command: Vec::new(),
                    answer: None,
                };
                self.connections.insert(number, operator);
            }
        }
    }

    /// Handles an operator's connection that became readable or writable; `run` returns the answer to a command.
    pub(crate) fn handle_ready(
        &mut self,
        number: u64,
        poll: &Poll,
        run: impl FnOnce(&str) -> String,
    ) {
        let Some(operator) = self.connections.get_mut(&number) else {
            return;
        };
        if !matches!(operator.exchange(run), Ok(false)) {
            self.disconnect(number, poll);
        }
    }

    pub(crate) fn disconnect(&mut self, number: u64, poll: &Poll) {
        if let Some(operator) = self.connections.remove(&number) {
            poll.unwatch(operator.token);
        }
    }
}

impl Operator {
    /// Reads the command and writes the answer as far as possible now. Returns true once the answer is written or no
    /// complete command can arrive.
    fn exchange(&mut self, run: impl FnOnce(&str) -> String) -> io::Result<bool> {
        if self.answer.is_none() {
            let mut bytes = [0; MAX_COMMAND_BYTES];
            match (&*self.stream).read(&mut bytes) {
                Ok(0) => return Ok(true),
                Ok(n) => self.command.extend(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
            let Some(end) = self.command.iter().position(|b| *b == b'\n') else {
                return Ok(self.command.len() >= MAX_COMMAND_BYTES);
            };
            let answer = run(String::from_utf8_lossy(&self.command[..end]).trim());
            self.answer = Some((answer.into_bytes(), 0));
        }
        self.write_answer()
    }

    /// Writes the answer as far as possible now. Returns true once it is written.
    fn write_answer(&mut self) -> io::Result<bool> {
        let Some((text, written)) = &mut self.answer else {
            return Ok(false);
        };
        while *written < text.len() {
            match (&*self.stream).write(&text[*written..]) {
                Ok(0) => return Ok(true),
                Ok(n) => *written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

impl Drop for Operators {
    fn drop(&mut self) {
        // No process answers on this socket any more.
        let _ = std::fs::remove_file(&self.path);
    }
}
