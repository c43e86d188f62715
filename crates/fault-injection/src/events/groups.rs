//! The driver's side of the processes of simulated subscribers.

use super::check::{Findings, Timeline};
use super::protocol::{Command as GroupCommand, GroupPlan, GroupReport, LeaseRecovery, Reply};
use meadowrill_event_distribution::Micros;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Long enough for checks of many purges at many subscribers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);

struct GroupProcess {
    child: Child,
    replies: Receiver<String>,
}

impl GroupProcess {
    fn start(plan: &GroupPlan, tool: &Path) -> io::Result<GroupProcess> {
        let text = serde_json::to_string(plan).map_err(io::Error::other)?;
        let mut command = Command::new(tool);
        command
            .arg("hold")
            .arg(std::process::id().to_string())
            .arg(tool)
            .args(["subscribers", &text]);
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("subscriber process has no standard output"))?;
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
            .ok_or_else(|| io::Error::other("subscriber process has no standard input"))?;
        input.write_all(line.as_bytes())?;
        input.flush()
    }

    fn reply(&self) -> io::Result<Reply> {
        let line = self
            .replies
            .recv_timeout(REPLY_TIMEOUT)
            .map_err(io::Error::other)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl Drop for GroupProcess {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All processes of simulated subscribers.
pub struct Groups {
    processes: Vec<GroupProcess>,
}

impl Groups {
    /// Divides the subscribers of the plan among this many processes and starts them.
    pub fn start(plan: &GroupPlan, processes: usize, tool: &Path) -> io::Result<Groups> {
        let boundary = |process: usize| plan.first + plan.count * process / processes;
        let start = |process: usize| {
            let (first, end) = (boundary(process), boundary(process + 1));
            GroupProcess::start(
                &GroupPlan {
                    first,
                    count: end - first,
                    ..plan.clone()
                },
                tool,
            )
        };
        Ok(Groups {
            processes: (0..processes).map(start).collect::<io::Result<_>>()?,
        })
    }

    /// Sends the command to all processes.
    pub fn send(&mut self, command: &GroupCommand) -> io::Result<()> {
        let mut line = serde_json::to_string(command).map_err(io::Error::other)?;
        line.push('\n');
        self.processes
            .iter_mut()
            .try_for_each(|process| process.send(&line))
    }

    /// Sends a report or check command and returns the reply of each process. Other commands are not answered.
    fn replies(&mut self, command: &GroupCommand) -> io::Result<Vec<Reply>> {
        self.send(command)?;
        self.processes.iter().map(GroupProcess::reply).collect()
    }

    /// The reports of all processes, added up.
    pub fn report(&mut self, purges: usize) -> io::Result<GroupReport> {
        let mut all = GroupReport::default();
        for reply in self.replies(&GroupCommand::Report { purges })? {
            match reply {
                Reply::Report(report) => all.add(&report),
                Reply::Checked { .. } => {
                    return Err(io::Error::other(
                        "unexpected reply from a subscriber process",
                    ))
                }
            }
        }
        Ok(all)
    }

    /// Checks the records of all subscribers, and returns the lease recovery for each step of the scenario.
    pub fn check(
        &mut self,
        timeline: &Timeline,
        step_starts: &[Micros],
    ) -> io::Result<(Findings, Vec<LeaseRecovery>)> {
        let command = GroupCommand::Check {
            timeline: timeline.clone(),
            step_starts: step_starts.to_vec(),
        };
        let (mut findings, mut recoveries) = (
            Findings::default(),
            vec![LeaseRecovery::default(); step_starts.len()],
        );
        for reply in self.replies(&command)? {
            let Reply::Checked {
                findings: group_findings,
                recoveries: group_recoveries,
            } = reply
            else {
                return Err(io::Error::other(
                    "unexpected reply from a subscriber process",
                ));
            };
            findings.merge(&group_findings);
            recoveries
                .iter_mut()
                .zip(&group_recoveries)
                .for_each(|(all, one)| all.add(one));
        }
        Ok((findings, recoveries))
    }
}
