#!/usr/bin/env node
import '../lib/src/bin.js';
