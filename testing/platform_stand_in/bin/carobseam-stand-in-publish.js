#!/usr/bin/env node
import '../lib/src/publish_bin.js';
