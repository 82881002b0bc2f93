/** Fake service without a model. */
@NullMarked
package org.currantslip.standin.service;

import org.jspecify.annotations.NullMarked;
