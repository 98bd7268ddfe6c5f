"""Who is in the group of schedulers: a protocol without I/O, its messages, its view, its sockets and timers.

A view is a hint. It may be late, and it may be wrong about anybody; what must be done by one process only
(a job that must not run twice, the ownership of a store) never rests on it. What needs that has another name
and another proof.
"""
