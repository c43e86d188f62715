use super::*;

#[test]
fn order_and_limit_hold_when_the_content_is_moved() {
    let mut buffer = BoundedBuffer::new(10, &BufferMemory::default());
    buffer.append(b"abcdefgh").unwrap();
    buffer.consume(6);
    buffer.append(b"ijklmnop").unwrap();
    assert_eq!(buffer.append(b"q"), Err(BufferFull));
    assert_eq!((buffer.len(), buffer.remaining()), (10, 0));
    assert_eq!(buffer.bytes(), b"ghijklmnop");
}

#[test]
fn reads_stay_within_the_limit() {
    let memory = BufferMemory::default();
    let mut buffer = BoundedBuffer::new(10_000, &memory);
    let mut read = |expected| {
        buffer.read(expected, |into| {
            into.fill(7);
            Ok(into.len())
        })
    };
    assert_eq!(read(1).unwrap(), (4096, 4096));
    assert_eq!(read(5_000).unwrap().0, 5_904);
    assert_eq!(read(9_000).unwrap(), (0, 0));
    assert!(buffer
        .read(1, |_| Err(io::ErrorKind::WouldBlock.into()))
        .is_err());
    assert_eq!(
        (buffer.len(), buffer.remaining(), memory.bytes()),
        (10_000, 0, 10_000)
    );
    assert!(buffer.bytes().iter().all(|b| *b == 7));
}

#[test]
fn memory_doubles_but_not_past_the_limit() {
    let memory = BufferMemory::default();
    let mut buffer = BoundedBuffer::new(150_000, &memory);
    buffer.append(&[7; 70_000]).unwrap();
    assert!((70_000..150_000).contains(&memory.bytes()));
    buffer.append(&[7; 70_000]).unwrap();
    assert_eq!(memory.bytes(), 150_000);
}

#[test]
fn memory_is_counted_and_released() {
    let memory = BufferMemory::default();
    let mut buffer = BoundedBuffer::new(1 << 20, &memory);
    buffer.append(&[7; 100_000]).unwrap();
    assert!(memory.bytes() >= 100_000);
    buffer.consume(90_000);
    assert!(memory.bytes() <= 40_000);
    buffer.consume(10_000);
    assert!(memory.bytes() <= MIN_MEMORY);
    buffer.append(&[7; 5000]).unwrap();
    drop(buffer);
    assert_eq!(memory.bytes(), 0);
}

#[test]
fn spare_memory_is_reused_and_bounded() {
    let memory = BufferMemory::default();
    let mut buffers: Vec<BoundedBuffer> = (0..10)
        .map(|_| BoundedBuffer::new(200_000, &memory))
        .collect();
    buffers
        .iter_mut()
        .for_each(|buffer| buffer.append(&[7; 100_000]).unwrap());
    buffers.iter_mut().for_each(BoundedBuffer::clear);
    assert_eq!(
        (memory.bytes(), memory.spare.borrow()[1].len()),
        (10 * MIN_MEMORY, MAX_SPARE_ALLOCATIONS)
    );
    buffers[0].append(&[8; 100_000]).unwrap();
    assert_eq!(
        (memory.bytes(), memory.spare.borrow()[1].len()),
        (9 * MIN_MEMORY + 131_072, MAX_SPARE_ALLOCATIONS - 1)
    );
    assert!(buffers[0].bytes().iter().all(|b| *b == 8));
}
