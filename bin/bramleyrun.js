#!/usr/bin/env node
import * as oclif from '@oclif/core';

await oclif.execute({dir: import.meta.url});
