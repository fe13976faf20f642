#!/usr/bin/env -S node --max-semi-space-size=1
import '../lib/src/bin.js';
