//! Several processes of the program, with faults between them: each script of `scripts` is played as it stands. The
//! program has to be built before, which a test of the whole workspace does.

use meadowrill_fault_injection::script::{play, Tools};
use std::path::Path;
use std::sync::Mutex;

/// Times are judged, so one fleet at a time has the machine.
static ALONE: Mutex<()> = Mutex::new(());

fn holds(name: &str) {
    let alone = ALONE.lock();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text =
        std::fs::read_to_string(folder.join("scripts").join(format!("{name}.txt"))).expect(name);
    let holder = Path::new(env!("CARGO_BIN_EXE_meadowrill-rig"));
    let keep = std::env::temp_dir().join(format!("meadowrill-rig-{}-{name}", std::process::id()));
    let tools = Tools {
        keep: Some(keep.clone()),
        ..Tools::beside(holder)
    };
    let played = play(&text, &tools);
    drop(alone);
    if let Err(failed) = played {
        let story = std::fs::read_to_string(keep.join("story.txt")).unwrap_or_default();
        let last: Vec<&str> = story.lines().rev().take(60).collect();
        last.iter().rev().for_each(|line| println!("{line}"));
        panic!(
            "{name}, line {}: {}: {} (all in {})",
            failed.line,
            failed.text,
            failed.why,
            keep.display()
        );
    }
}

macro_rules! scripts {
    ($($name:ident)*) => { $(#[test] fn $name() { holds(stringify!($name)); })* };
}

scripts! {
    killed restarted most_killed split stopped seeds_down bad_links one_way leaving starved forgotten twins streams effects purges catch_up event_relays
}

/// Proxies that are cut off and go on with copies of any age are found by the caches, which are asked for them.
///
/// The two that are cut off later start first: clients go to whichever is up, and with all of them at the others no old
/// copy would be asked for.
#[test]
fn cut_fronts_that_bound_no_copies_are_found() {
    let alone = ALONE.lock();
    let script =
        "fronts 4\nzones 2\nrelays 2\nevents copy_age_ms: 60000\nclients 4\n+0 start 1,3\n+1 start 0,2\n+0 start r0-1\n\
                  expect leased all within 10\n+0 split 0,2,r0|1,3,r1\nexpect unleased 1,3 within 2.5\n\
                  +0 purge\n+0.1 purge\n+0.1 purge\n+0.1 purge\n+8 wait\nexpect purged\n";
    let played = play(
        script,
        &Tools::beside(Path::new(env!("CARGO_BIN_EXE_meadowrill-rig"))),
    );
    drop(alone);
    let failed = played.expect_err("purged copies let through");
    assert_eq!(failed.text, "expect purged", "{}", failed.why);
}

/// Without `fleet { ... }` nothing is opened for other fronts.
#[test]
fn without_a_fleet_there_is_no_socket_for_one() {
    use meadowrill_test_servers::{config, Journal, Program};
    let journal = Journal::start();
    let nowhere: [(&str, std::net::SocketAddr); 0] = [];
    let open = |settings: &str| {
        let program = Program::with_settings(&config(&nowhere, journal.address), settings);
        let fds =
            std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).expect("its descriptors");
        let sockets = fds
            .flatten()
            .filter_map(|fd| std::fs::read_link(fd.path()).ok());
        let sockets: Vec<String> = sockets
            .map(|to| to.to_string_lossy().into_owned())
            .collect();
        let table = std::fs::read_to_string("/proc/net/udp").expect("datagram sockets");
        let of_it = |line: &str| {
            line.split_whitespace()
                .nth(9)
                .is_some_and(|inode| sockets.contains(&format!("socket:[{inode}]")))
        };
        table.lines().filter(|line| of_it(line)).count()
    };
    assert_eq!(open(""), 0);
    // The table is read in pieces: while others come and go on the machine, a line of it may be passed over.
    let found =
        (0..20).any(|_| open("fleet { listen: \"127.0.0.1:0\" advertise: \"127.0.0.1:1\" }") == 1);
    assert!(found);
}
