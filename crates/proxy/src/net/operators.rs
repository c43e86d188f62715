//! Operators on a local socket: one word and a line feed, then a text in answer, then the end.

use super::{Key, Poll};
use calloop::RegistrationToken;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Operators at one time: whoever comes beyond is closed at once.
const MOST: usize = 4;
/// The longest word.
const WORD: usize = 256;

struct Operator {
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    word: Vec<u8>,
    answer: Option<(Vec<u8>, usize)>,
}

pub(crate) struct Operators {
    path: PathBuf,
    listener: UnixListener,
    open: BTreeMap<u64, Operator>,
}

impl Operators {
    pub(crate) fn listen(path: &Path, poll: &Poll) -> io::Result<Operators> {
        // One that a killed front left behind; anything else is not ours to remove.
        if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        listener.set_nonblocking(true)?;
        poll.watch(listener.try_clone()?, Key::Operators)?;
        Ok(Operators {
            path: path.to_path_buf(),
            listener,
            open: BTreeMap::new(),
        })
    }

    pub(crate) fn accept(&mut self, poll: &mut Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.open.len() >= MOST || stream.set_nonblocking(true).is_err() {
                continue;
            }
            let (number, stream) = (poll.key(), Rc::new(stream));
            if let Ok(token) = poll.watch(Rc::clone(&stream), Key::Operator(number)) {
                self.open.insert(
                    number,
                    Operator {
                        stream,
                        token,
                        word: Vec::new(),
                        answer: None,
                    },
                );
            }
        }
    }

    /// Something can be read or written; `tell` gives the text for a word.
    pub(crate) fn handle(&mut self, number: u64, poll: &Poll, tell: impl FnOnce(&str) -> String) {
        let Some(operator) = self.open.get_mut(&number) else {
            return;
        };
        if !matches!(operator.step(tell), Ok(false)) {
            self.drop(number, poll);
        }
    }

    pub(crate) fn drop(&mut self, number: u64, poll: &Poll) {
        if let Some(operator) = self.open.remove(&number) {
            poll.unwatch(operator.token);
        }
    }
}

impl Operator {
    /// True once all is said.
    fn step(&mut self, tell: impl FnOnce(&str) -> String) -> io::Result<bool> {
        if self.answer.is_none() {
            let mut bytes = [0; WORD];
            match (&*self.stream).read(&mut bytes) {
                Ok(0) => return Ok(true),
                Ok(n) => self.word.extend(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
            let Some(end) = self.word.iter().position(|b| *b == b'\n') else {
                return Ok(self.word.len() >= WORD);
            };
            let text = tell(String::from_utf8_lossy(&self.word[..end]).trim());
            self.answer = Some((text.into_bytes(), 0));
        }
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
        // Nobody is left to answer there.
        let _ = std::fs::remove_file(&self.path);
    }
}
