//! The driver's side of the processes of hollow subscribers.

use super::check::{Findings, Timeline};
use super::protocol::{Command as GroupCommand, GroupPlan, GroupReport, Reply, Return};
use meadowrill_event_distribution::Micros;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Checks of many purges at many subscribers take a while.
const ANSWER_MOST: Duration = Duration::from_secs(60);

struct GroupProcess {
    child: Child,
    replies: Receiver<String>,
}

impl GroupProcess {
    fn start(plan: &GroupPlan, holder: &Path) -> io::Result<GroupProcess> {
        let text = serde_json::to_string(plan).map_err(io::Error::other)?;
        let mut command = Command::new(holder);
        command
            .arg("hold")
            .arg(std::process::id().to_string())
            .arg(holder)
            .args(["subscribers", &text]);
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let (sender, replies) = channel();
        std::thread::spawn(move || {
            let lines = BufReader::new(output).lines().map_while(Result::ok);
            lines.for_each(|line| drop(sender.send(line)));
        });
        Ok(GroupProcess { child, replies })
    }

    fn send(&mut self, line: &str) -> io::Result<()> {
        let input = self
            .child
            .stdin
            .as_mut()
            .ok_or_else(|| io::Error::other("no input"))?;
        input.write_all(line.as_bytes())?;
        input.flush()
    }

    fn reply(&self) -> io::Result<Reply> {
        let line = self
            .replies
            .recv_timeout(ANSWER_MOST)
            .map_err(io::Error::other)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl Drop for GroupProcess {
    fn drop(&mut self) {
        // One that has ended is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All processes of hollow subscribers.
pub struct Groups {
    processes: Vec<GroupProcess>,
}

impl Groups {
    /// Shares the subscribers of the plan among so many processes.
    pub fn start(plan: &GroupPlan, processes: usize, holder: &Path) -> io::Result<Groups> {
        let border = |process: usize| plan.first + plan.many * process / processes;
        let start = |process: usize| {
            let (first, end) = (border(process), border(process + 1));
            GroupProcess::start(
                &GroupPlan {
                    first,
                    many: end - first,
                    ..plan.clone()
                },
                holder,
            )
        };
        Ok(Groups {
            processes: (0..processes).map(start).collect::<io::Result<_>>()?,
        })
    }

    pub fn send(&mut self, command: &GroupCommand) -> io::Result<()> {
        let mut line = serde_json::to_string(command).map_err(io::Error::other)?;
        line.push('\n');
        self.processes
            .iter_mut()
            .try_for_each(|process| process.send(&line))
    }

    /// One reply of each; commands but these two are not answered.
    fn replies(&mut self, command: &GroupCommand) -> io::Result<Vec<Reply>> {
        self.send(command)?;
        self.processes.iter().map(GroupProcess::reply).collect()
    }

    /// The sum over all processes.
    pub fn report(&mut self, purges: usize) -> io::Result<GroupReport> {
        let mut all = GroupReport::default();
        for reply in self.replies(&GroupCommand::Report { purges })? {
            match reply {
                Reply::Report(report) => all.add(&report),
                Reply::Checked { .. } => return Err(io::Error::other("not what was asked for")),
            }
        }
        Ok(all)
    }

    pub fn check(
        &mut self,
        timeline: &Timeline,
        marks: &[Micros],
    ) -> io::Result<(Findings, Vec<Return>)> {
        let command = GroupCommand::Check {
            timeline: timeline.clone(),
            marks: marks.to_vec(),
        };
        let (mut findings, mut returns) =
            (Findings::default(), vec![Return::default(); marks.len()]);
        for reply in self.replies(&command)? {
            let Reply::Checked {
                findings: some,
                returns: back,
            } = reply
            else {
                return Err(io::Error::other("not what was asked for"));
            };
            findings.merge(&some);
            returns
                .iter_mut()
                .zip(&back)
                .for_each(|(all, one)| all.add(one));
        }
        Ok((findings, returns))
    }
}
