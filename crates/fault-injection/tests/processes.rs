//! Fleets of processes under faults: each test plays one file of the folder `scripts`. The program has to be built
//! before, which a test of the whole workspace does.

use meadowrill_fault_injection::script::{play, Tools};
use std::path::Path;
use std::sync::Mutex;

/// Runs one fleet at a time, as the scripts check durations.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn assert_passes(name: &str) {
    let exclusive = EXCLUSIVE.lock();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text =
        std::fs::read_to_string(folder.join("scripts").join(format!("{name}.txt"))).expect(name);
    let rig_program = Path::new(env!("CARGO_BIN_EXE_meadowrill-rig"));
    let artifact_dir =
        std::env::temp_dir().join(format!("meadowrill-rig-{}-{name}", std::process::id()));
    let tools = Tools {
        artifact_dir: Some(artifact_dir.clone()),
        ..Tools::beside(rig_program)
    };
    let result = play(&text, &tools);
    drop(exclusive);
    if let Err(failure) = result {
        let timeline = std::fs::read_to_string(artifact_dir.join("story.txt")).unwrap_or_default();
        let last_lines: Vec<&str> = timeline.lines().rev().take(60).collect();
        last_lines.iter().rev().for_each(|line| println!("{line}"));
        panic!(
            "{name}, line {}: {}: {} (all in {})",
            failure.line,
            failure.step,
            failure.reason,
            artifact_dir.display()
        );
    }
}

macro_rules! scripts {
    ($($name:ident)*) => { $(#[test] fn $name() { assert_passes(stringify!($name)); })* };
}

scripts! {
    killed restarted most_killed split stopped seeds_down bad_links one_way leaving starved forgotten twins streams effects purges catch_up event_relays
}

/// Proxies that continue to accept copies of any age after they were cut off are detected by the caches, which receive
/// their requests.
///
/// The two proxies to be cut off start first, because clients connect to whichever proxy is up. If all clients were
/// connected to the others, no old copy would be requested.
#[test]
fn isolated_proxies_without_an_age_limit_for_copies_are_detected() {
    let exclusive = EXCLUSIVE.lock();
    let script =
        "fronts 4\nzones 2\nrelays 2\nevents copy_age_ms: 60000\nclients 4\n+0 start 1,3\n+1 start 0,2\n+0 start r0-1\n\
                  expect leased all within 10\n+0 split 0,2,r0|1,3,r1\nexpect unleased 1,3 within 2.5\n\
                  +0 purge\n+0.1 purge\n+0.1 purge\n+0.1 purge\n+8 wait\nexpect purged\n";
    let result = play(
        script,
        &Tools::beside(Path::new(env!("CARGO_BIN_EXE_meadowrill-rig"))),
    );
    drop(exclusive);
    let failure = result.expect_err("requests accepted purged copies");
    assert_eq!(failure.step, "expect purged", "{}", failure.reason);
}

/// Without `fleet { ... }` the proxy opens no UDP socket for other members.
#[test]
fn without_fleet_settings_no_udp_socket_is_open() {
    use meadowrill_test_servers::{config, Journal, Program};
    let journal = Journal::start();
    let no_caches: [(&str, std::net::SocketAddr); 0] = [];
    let open_udp_sockets = |settings: &str| {
        let program = Program::with_settings(&config(&no_caches, journal.address), settings);
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))
            .expect("descriptors of the process");
        let sockets = descriptors
            .flatten()
            .filter_map(|fd| std::fs::read_link(fd.path()).ok());
        let sockets: Vec<String> = sockets
            .map(|target| target.to_string_lossy().into_owned())
            .collect();
        let udp_table = std::fs::read_to_string("/proc/net/udp").expect("table of UDP sockets");
        let belongs_to_process = |line: &str| {
            line.split_whitespace()
                .nth(9)
                .is_some_and(|inode| sockets.contains(&format!("socket:[{inode}]")))
        };
        udp_table
            .lines()
            .filter(|line| belongs_to_process(line))
            .count()
    };
    assert_eq!(open_udp_sockets(""), 0);
    // The kernel returns the table in pieces, so a line may be missed while other processes open and close sockets.
    let one_socket = (0..20).any(|_| {
        open_udp_sockets("fleet { listen: \"127.0.0.1:0\" advertise: \"127.0.0.1:1\" }") == 1
    });
    assert!(one_socket);
}
