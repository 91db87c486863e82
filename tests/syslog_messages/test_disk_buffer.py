"""The disk buffer: order, size limit and damaged records."""

from rampfront.syslog.disk_buffer import RECORD_HEADER, DiskBuffer


def test_the_disk_buffer_keeps_order_and_bounds_and_finds_damage(tmp_path):
    buffer = DiskBuffer(tmp_path, 1000)
    assert buffer.append([b"x" * 92] * 12) == 10  # ten records fill it
    assert buffer.append([b"y"]) == 0 and len(buffer.read_oldest_segment()) == 10
    buffer.drop_oldest_segment()
    assert buffer.size_bytes == 0 and not buffer.has_segments and buffer.append([b"1", b"2", b"3"]) == 3
    buffer.close()
    path = next(tmp_path.glob("*.spill"))
    data = bytearray(path.read_bytes())
    data[2 * RECORD_HEADER.size + 1] ^= 1  # in the message of the second record
    path.write_bytes(data)
    next_process = DiskBuffer(tmp_path, 1000)
    assert next_process.read_oldest_segment() == [b"1"] and next_process.take_damaged_records() == 1
    path.write_bytes(data[: RECORD_HEADER.size + 1] + data[:5])  # torn
    assert DiskBuffer(tmp_path, 1000).read_oldest_segment() == [b"1"]
