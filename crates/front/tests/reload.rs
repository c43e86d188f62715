//! A new configuration under way: what it changes takes effect, and nothing else is disturbed by it.

use meadowrill_standins::*;
use serde_json::json;
use std::io::Write;

#[test]
fn a_signal_to_reload_moves_the_journal_and_keeps_all_else() {
    let cache = Cache::start(Does::Nothing);
    let (first, second) = (Journal::start(), Journal::start());
    let mut config = config(&[("s-a", cache.address)], first.address);
    let mut program = Program::start(&config);
    let (_, mut service) = first.greeting();
    let purge = json!({"pos": 2, "expire": {"set": 3, "stamp": 1}});
    service.write_all(format!("{purge}\n").as_bytes()).unwrap();
    let mut client = Client::new(&program);
    client.write(&ask(1, "map", &[], b""));
    let (number, ..) = cache.request();
    // A faulty one changes nothing, however often it is told.
    for _ in 0..3 {
        program.reload("{\"journal\": \"nowhere\"");
    }
    config["journal"] = json!(second.address.to_string());
    config["limits"]["sockets"] = json!(70);
    program.reload(&config.to_string());
    // The numbers carry on, and what was open stays so.
    assert_eq!(second.greeting().0, "tail 2\n");
    cache.does(ok(b"fine"));
    assert_eq!(client.lookup(2, "map").code(), 0);
    client.write(&frame(67, 1, &[]));
    cache.end(number);
    program.terminate();
    program.signal("-HUP");
    while client.ready() == 0 {}
    program.signal("-HUP");
    assert!(program.child.wait().unwrap().success());
}
