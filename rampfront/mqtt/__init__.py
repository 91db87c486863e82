"""The listener of MQTT clients, versions 3.1.1 and 5.0. Only `front` does I/O."""
