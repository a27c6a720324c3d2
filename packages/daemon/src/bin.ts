#!/usr/bin/env -S node --max-semi-space-size=1
// Three semi-spaces of 16 MB each would take most of the 64 MB that control may use on a VM.
import process from 'node:process';
import {runCli} from './run-cli.ts';

process.exit(await runCli(process.argv.slice(2)));
