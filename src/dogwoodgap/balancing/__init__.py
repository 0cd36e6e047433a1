"""Places the turns of services whose engines differ in speed, by turn schedulers."""
