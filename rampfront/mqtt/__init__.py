"""The MQTT front: 3.1.1 and 5.0. `codec` and `session` do no I/O; `front` owns the sockets."""
